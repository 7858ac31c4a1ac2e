/**
 * Size and run time by kind, learnt from lagging measurements. Each task gives one sample, the largest use
 * that was seen of it, so that a task that runs long does not outweigh the others.
 */
import type { Instant } from '@figjunction/time';
import type { KindName, Resources, TaskId } from '@figjunction/types';
import { maximumOfResources, scaleResources } from '../room/resource-arithmetic.js';
import { weightOfAge, weightedPercentile } from './weighted-percentile.js';
import type { WeightedSample } from './weighted-percentile.js';

export interface EstimateOptions {
  /** Fraction of tasks that the estimate covers. */
  percentile?: number;
  halfLifeMs?: number;
  /** Below this many samples the declared size counts, widened. */
  samplesToTrust?: number;
  wideningFactor?: number;
  /** Below this many samples the estimate is never smaller than the declared size. */
  samplesToShrink?: number;
  samplesMaximum?: number;
}

interface SizeSample {
  peak: Resources;
  at: Instant;
}

interface RunTimeSample {
  runTimeMs: number;
  at: Instant;
}

interface KindSamples {
  sizes: Map<TaskId, SizeSample>;
  runTimes: RunTimeSample[];
  /**
   * The percentile of the sizes, kept until the next sample: placement asks once for each pending task.
   * Samples of other kinds age all weights by the same factor, which changes no percentile.
   */
  learntSize: Resources | null;
}

export interface EstimateTable {
  options: Required<EstimateOptions>;
  kinds: Map<KindName, KindSamples>;
  /** Time of the newest sample; ages are counted from it. */
  latest: Instant;
}

export interface UsageSample {
  taskId: TaskId;
  kind: KindName;
  /** Use without the effect of a throttle. */
  used: Resources;
  measuredAt: Instant;
}

const MINUTE_MS = 60_000;

const DEFAULT_OPTIONS: Required<EstimateOptions> = {
  percentile: 0.95,
  halfLifeMs: 10 * MINUTE_MS,
  samplesToTrust: 5,
  wideningFactor: 1.5,
  // With 20 samples the 95th percentile is no longer simply the largest of them.
  samplesToShrink: 20,
  samplesMaximum: 256,
};

export function createEstimateTable(options: EstimateOptions = {}): EstimateTable {
  return {
    options: { ...DEFAULT_OPTIONS, ...options },
    kinds: new Map(),
    latest: Number.NEGATIVE_INFINITY,
  };
}

export function recordUsage(table: EstimateTable, sample: UsageSample): void {
  const samples = samplesOf(table, sample.kind);
  const { sizes } = samples;
  const known = sizes.get(sample.taskId);
  const peak = known === undefined ? sample.used : maximumOfResources(known.peak, sample.used);
  // Removing first keeps the map in the order of the last measurement.
  sizes.delete(sample.taskId);
  sizes.set(sample.taskId, { peak, at: sample.measuredAt });
  table.latest = Math.max(table.latest, sample.measuredAt);
  dropOldest(sizes, table.options.samplesMaximum);
  samples.learntSize = null;
}

export function recordRunTime(
  table: EstimateTable,
  kind: KindName,
  runTimeMs: number,
  at: Instant,
): void {
  const { runTimes } = samplesOf(table, kind);
  runTimes.push({ runTimeMs, at });
  table.latest = Math.max(table.latest, at);
  if (runTimes.length > table.options.samplesMaximum) {
    runTimes.shift();
  }
}

/** Whether enough tasks of the kind were measured to trust the estimate. */
export function isKindKnown(table: EstimateTable, kind: KindName): boolean {
  return (table.kinds.get(kind)?.sizes.size ?? 0) >= table.options.samplesToTrust;
}

/** What was learnt of the kind alone, without the caution for few samples; zero before the first sample. */
export function learntSize(table: EstimateTable, kind: KindName): Resources {
  const samples = samplesOf(table, kind);
  samples.learntSize ??= learnSize(table, [...samples.sizes.values()]);
  return samples.learntSize;
}

/** The size to count for a task of the kind; at least the declared size until many were measured. */
export function estimateSize(table: EstimateTable, kind: KindName, declared: Resources): Resources {
  const { samplesToTrust, samplesToShrink, wideningFactor } = table.options;
  const samples = samplesOf(table, kind);
  const learntAlone = learntSize(table, kind);
  const learnt = {
    ...learntAlone,
    accelerators: Math.max(declared.accelerators, learntAlone.accelerators),
  };
  if (samples.sizes.size < samplesToTrust) {
    const { accelerators } = declared;
    return maximumOfResources(learnt, {
      ...scaleResources(declared, wideningFactor),
      accelerators,
    });
  }
  return samples.sizes.size < samplesToShrink ? maximumOfResources(learnt, declared) : learnt;
}

/** A run time that most tasks of the kind stay under; null until enough have ended. */
export function estimateRunTimeMs(table: EstimateTable, kind: KindName): number | null {
  const { percentile, samplesToTrust } = table.options;
  const samples = table.kinds.get(kind)?.runTimes ?? [];
  if (samples.length < samplesToTrust) {
    return null;
  }
  const weighted = samples.map(({ runTimeMs, at }) => weigh(table, runTimeMs, at));
  return weightedPercentile(weighted, percentile);
}

function learnSize(table: EstimateTable, samples: readonly SizeSample[]): Resources {
  return {
    processorMillicores: percentileOf(table, samples, 'processorMillicores'),
    memoryMegabytes: percentileOf(table, samples, 'memoryMegabytes'),
    accelerators: percentileOf(table, samples, 'accelerators'),
  };
}

function percentileOf(
  table: EstimateTable,
  samples: readonly SizeSample[],
  name: keyof Resources,
): number {
  const weighted = samples.map(({ peak, at }) => weigh(table, peak[name], at));
  return weightedPercentile(weighted, table.options.percentile);
}

function weigh(table: EstimateTable, value: number, at: Instant): WeightedSample {
  return { value, weight: weightOfAge(table.latest - at, table.options.halfLifeMs) };
}

function samplesOf(table: EstimateTable, kind: KindName): KindSamples {
  let samples = table.kinds.get(kind);
  if (samples === undefined) {
    samples = { sizes: new Map(), runTimes: [], learntSize: null };
    table.kinds.set(kind, samples);
  }
  return samples;
}

function dropOldest(sizes: Map<TaskId, SizeSample>, maximum: number): void {
  for (const taskId of sizes.keys()) {
    if (sizes.size <= maximum) {
      return;
    }
    sizes.delete(taskId);
  }
}
