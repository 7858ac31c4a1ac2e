/**
 * Estimates the size and run time of tasks of a kind from usage measurements, which arrive with a delay.
 * Each task contributes one sample, its peak usage, so that a long-running task does not outweigh others.
 */
import type { Instant } from '@figjunction/time';
import type { KindName, Resources, TaskId } from '@figjunction/types';
import { maximumOfResources, scaleResources } from '../capacity/resource-arithmetic.js';
import { computeDecayWeight, weightedPercentile } from './weighted-percentile.js';
import type { WeightedSample } from './weighted-percentile.js';

export interface EstimateOptions {
  /** Fraction of tasks, 0 to 1, whose peak usage does not exceed the estimate. */
  percentile?: number;
  /** Time after which the weight of a sample has halved. */
  halfLifeMs?: number;
  /** With fewer samples the estimate is at least the declared size times `safetyFactor`. */
  samplesToTrust?: number;
  safetyFactor?: number;
  /** With fewer samples the estimate is at least the declared size. */
  samplesToShrink?: number;
  /** Samples kept per kind; the oldest are dropped. */
  samplesMaximum?: number;
}

interface SizeSample {
  /** Per-resource maximum over all measurements of the task. */
  peak: Resources;
  measuredAt: Instant;
}

interface RunTimeSample {
  runTimeMs: number;
  endedAt: Instant;
}

interface KindSamples {
  /** Ordered by the time of the last measurement, oldest first. */
  sizes: Map<TaskId, SizeSample>;
  runTimes: RunTimeSample[];
  /**
   * Percentiles of the sizes, cached until the next sample because placement reads them for each pending
   * task. Samples of other kinds scale all weights by the same factor, so the cache stays valid.
   */
  cachedSize: Resources | null;
}

export interface EstimateTable {
  options: Required<EstimateOptions>;
  kinds: Map<KindName, KindSamples>;
  /** Time of the newest sample of any kind; sample ages are relative to it. */
  newestSampleAt: Instant;
}

export interface UsageSample {
  taskId: TaskId;
  kind: KindName;
  /** Resources that the task would use if it were not throttled. */
  used: Resources;
  measuredAt: Instant;
}

const MINUTE_MS = 60_000;

const DEFAULT_OPTIONS: Required<EstimateOptions> = {
  percentile: 0.95,
  halfLifeMs: 10 * MINUTE_MS,
  samplesToTrust: 5,
  safetyFactor: 1.5,
  // With fewer than 20 equally weighted samples the 95th percentile is always the maximum.
  samplesToShrink: 20,
  samplesMaximum: 256,
};

export function createEstimateTable(options: EstimateOptions = {}): EstimateTable {
  return {
    options: { ...DEFAULT_OPTIONS, ...options },
    kinds: new Map(),
    newestSampleAt: Number.NEGATIVE_INFINITY,
  };
}

/** Records a measurement; of each task only the peak usage counts. */
export function recordUsage(table: EstimateTable, sample: UsageSample): void {
  const samples = getOrCreateSamples(table, sample.kind);
  const { sizes } = samples;
  const previous = sizes.get(sample.taskId);
  const peak =
    previous === undefined ? sample.used : maximumOfResources(previous.peak, sample.used);
  // Delete first: re-inserting moves the key to the end, which keeps the map ordered by last measurement.
  sizes.delete(sample.taskId);
  sizes.set(sample.taskId, { peak, measuredAt: sample.measuredAt });
  table.newestSampleAt = Math.max(table.newestSampleAt, sample.measuredAt);
  dropOldestSamples(sizes, table.options.samplesMaximum);
  samples.cachedSize = null;
}

/** Records the run time of a task that ended. */
export function recordRunTime(
  table: EstimateTable,
  kind: KindName,
  runTimeMs: number,
  endedAt: Instant,
): void {
  const { runTimes } = getOrCreateSamples(table, kind);
  runTimes.push({ runTimeMs, endedAt });
  table.newestSampleAt = Math.max(table.newestSampleAt, endedAt);
  if (runTimes.length > table.options.samplesMaximum) {
    runTimes.shift();
  }
}

/** Whether at least `samplesToTrust` tasks of the kind have been measured. */
export function isKindSizeKnown(table: EstimateTable, kind: KindName): boolean {
  return (table.kinds.get(kind)?.sizes.size ?? 0) >= table.options.samplesToTrust;
}

/** The estimate from samples only, without the margins for few samples; zero before the first sample. */
export function estimateSizeFromSamples(table: EstimateTable, kind: KindName): Resources {
  const samples = getOrCreateSamples(table, kind);
  samples.cachedSize ??= computeSizePercentiles(table, [...samples.sizes.values()]);
  return samples.cachedSize;
}

/**
 * The size to count for a task of the kind. With fewer than `samplesToTrust` samples it is at least the
 * declared size times `safetyFactor`, and below `samplesToShrink` at least the declared size.
 */
export function estimateSize(table: EstimateTable, kind: KindName, declared: Resources): Resources {
  const { samplesToTrust, samplesToShrink, safetyFactor } = table.options;
  const samples = getOrCreateSamples(table, kind);
  const percentiles = estimateSizeFromSamples(table, kind);
  const estimate = {
    ...percentiles,
    accelerators: Math.max(declared.accelerators, percentiles.accelerators),
  };
  if (samples.sizes.size < samplesToTrust) {
    const { accelerators } = declared;
    return maximumOfResources(estimate, {
      ...scaleResources(declared, safetyFactor),
      accelerators,
    });
  }
  return samples.sizes.size < samplesToShrink ? maximumOfResources(estimate, declared) : estimate;
}

/** The configured percentile of the run times, in milliseconds; null with fewer than `samplesToTrust`. */
export function estimateRunTimeMs(table: EstimateTable, kind: KindName): number | null {
  const { percentile, samplesToTrust } = table.options;
  const samples = table.kinds.get(kind)?.runTimes ?? [];
  if (samples.length < samplesToTrust) {
    return null;
  }
  const weighted = samples.map(({ runTimeMs, endedAt }) =>
    toWeightedSample(table, runTimeMs, endedAt),
  );
  return weightedPercentile(weighted, percentile);
}

function computeSizePercentiles(table: EstimateTable, samples: readonly SizeSample[]): Resources {
  return {
    processorMillicores: computePercentile(table, samples, 'processorMillicores'),
    memoryMegabytes: computePercentile(table, samples, 'memoryMegabytes'),
    accelerators: computePercentile(table, samples, 'accelerators'),
  };
}

function computePercentile(
  table: EstimateTable,
  samples: readonly SizeSample[],
  name: keyof Resources,
): number {
  const weighted = samples.map(({ peak, measuredAt }) =>
    toWeightedSample(table, peak[name], measuredAt),
  );
  return weightedPercentile(weighted, table.options.percentile);
}

function toWeightedSample(table: EstimateTable, value: number, takenAt: Instant): WeightedSample {
  return {
    value,
    weight: computeDecayWeight(table.newestSampleAt - takenAt, table.options.halfLifeMs),
  };
}

function getOrCreateSamples(table: EstimateTable, kind: KindName): KindSamples {
  let samples = table.kinds.get(kind);
  if (samples === undefined) {
    samples = { sizes: new Map(), runTimes: [], cachedSize: null };
    table.kinds.set(kind, samples);
  }
  return samples;
}

function dropOldestSamples(sizes: Map<TaskId, SizeSample>, maximum: number): void {
  for (const taskId of sizes.keys()) {
    if (sizes.size <= maximum) {
      return;
    }
    sizes.delete(taskId);
  }
}
