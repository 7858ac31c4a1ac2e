/**
 * Learns how much the filling work of each image disturbs tasks that serve. The model: each core that an
 * image uses raises the logarithm of the tail latency beside it by the pressure of the image. Changes
 * between two readings of a VM teach it, so that the serving tasks' own load cancels out on average.
 */
import type { Instant } from '@figjunction/time';
import type { RunningTask } from '@figjunction/types';
import { runKey } from './records.js';
import type { VmRecord } from './records.js';

/** Pressure of an image that has not been seen beside serving tasks. */
const FIRST_PRESSURE = 0.04;
const PRESSURE_MAXIMUM = 0.6;
/** How much the first pressure weighs against what is seen; in square cores. */
const FIRST_WEIGHT = 8;
/** Older changes count less with each new one. */
const FADING = 0.998;
/** Readings cover half a second; closer ones overlap. */
const INTERVAL_MINIMUM_MS = 450;
const INTERVAL_MAXIMUM_MS = 1_600;
/** Smaller changes of use teach nothing over the noise; in square cores. */
const CHANGE_MINIMUM = 0.25;
const LOG_CHANGE_MAXIMUM = 1;
const MILLICORES_PER_CORE = 1_000;
const NO_IMAGE = '';

interface VmReading {
  at: Instant;
  /** Cores in use by image. */
  cores: Map<string, number>;
  /** Tail latency by run. */
  latencies: Map<string, number>;
}

export class InterferenceModel {
  private readonly pressures = new Map<string, number>();

  /** Sums of the products of changes of use, and of changes of use and latency, for least squares. */
  private readonly products = new Map<string, Map<string, number>>();

  private readonly effects = new Map<string, number>();

  private readonly last = new Map<VmRecord, VmReading>();

  /** Rise of the logarithm of the tail latency for each core that the image uses. */
  pressureOf(image: string | null): number {
    return this.pressures.get(image ?? NO_IMAGE) ?? FIRST_PRESSURE;
  }

  /** Images and their pressures, for the log. */
  describe(): Record<string, number> {
    return Object.fromEntries(
      [...this.pressures].map(([image, pressure]) => [image, Number(pressure.toFixed(3))]),
    );
  }

  observe(vm: VmRecord, running: RunningTask[], now: Instant): void {
    const before = this.last.get(vm);
    if (before !== undefined && now - before.at < INTERVAL_MINIMUM_MS) {
      return;
    }
    const reading = readVm(vm, running, now);
    this.last.set(vm, reading);
    if (before !== undefined && now - before.at < INTERVAL_MAXIMUM_MS) {
      this.learn(before, reading);
    }
  }

  private learn(before: VmReading, after: VmReading): void {
    const logChange = meanLogChange(before, after);
    if (logChange === null) {
      return;
    }
    const changes = new Map<string, number>();
    for (const image of new Set([...before.cores.keys(), ...after.cores.keys()])) {
      changes.set(image, (after.cores.get(image) ?? 0) - (before.cores.get(image) ?? 0));
    }
    const size = [...changes.values()].reduce((sum, change) => sum + change * change, 0);
    if (size >= CHANGE_MINIMUM) {
      this.addSample(changes, logChange);
      changes.forEach((_, image) => this.estimate(image));
    }
  }

  private addSample(changes: Map<string, number>, logChange: number): void {
    for (const [image, change] of changes) {
      this.effects.set(image, (this.effects.get(image) ?? 0) * FADING + change * logChange);
      const row = this.products.get(image) ?? new Map<string, number>();
      this.products.set(image, row);
      for (const [other, otherChange] of changes) {
        row.set(other, (row.get(other) ?? 0) * FADING + change * otherChange);
      }
    }
  }

  /** One step of coordinate descent on the least squares of all samples, with the first pressure as prior. */
  private estimate(image: string): void {
    const row = this.products.get(image) ?? new Map<string, number>();
    let rest = (this.effects.get(image) ?? 0) + FIRST_WEIGHT * FIRST_PRESSURE;
    for (const [other, product] of row) {
      if (other !== image) {
        rest -= product * this.pressureOf(other);
      }
    }
    const pressure = rest / ((row.get(image) ?? 0) + FIRST_WEIGHT);
    this.pressures.set(image, Math.min(PRESSURE_MAXIMUM, Math.max(0, pressure)));
  }
}

function readVm(vm: VmRecord, running: RunningTask[], at: Instant): VmReading {
  const reading: VmReading = { at, cores: new Map(), latencies: new Map() };
  for (const { taskId, run, reading: value } of running) {
    const key = runKey(taskId, run);
    const specification = vm.runs.get(key)?.task.step.specification;
    if (specification !== undefined && specification.latencyTargetMs !== null) {
      reading.latencies.set(key, value);
    } else if (specification?.fills === true) {
      const image = specification.image ?? NO_IMAGE;
      const cores = value / MILLICORES_PER_CORE;
      reading.cores.set(image, (reading.cores.get(image) ?? 0) + cores);
    }
  }
  return reading;
}

/** Null when no serving task has two readings. */
function meanLogChange(before: VmReading, after: VmReading): number | null {
  let sum = 0;
  let count = 0;
  for (const [key, latency] of after.latencies) {
    const earlier = before.latencies.get(key) ?? 0;
    if (latency > 0 && earlier > 0) {
      sum += Math.log(latency / earlier);
      count += 1;
    }
  }
  if (count === 0) {
    return null;
  }
  return Math.max(-LOG_CHANGE_MAXIMUM, Math.min(LOG_CHANGE_MAXIMUM, sum / count));
}
