/**
 * Estimates how much filler tasks of each image slow down serving tasks on the same VM. In the model, each
 * core that an image uses adds the pressure of the image to the logarithm of the tail latency. The estimate
 * uses differences between two measurements of a VM, so that the load of the serving tasks themselves cancels
 * out on average.
 */
import type { Instant } from '@figjunction/time';
import type { RunningTask } from '@figjunction/types';
import { buildRunKey } from './records.js';
import type { VmRecord } from './records.js';

/** Pressure of an image that has not been measured next to serving tasks. */
const PRIOR_PRESSURE = 0.04;
const PRESSURE_MAXIMUM = 0.6;
/** Weight of the prior pressure against the samples, in square cores. */
const PRIOR_WEIGHT = 8;
/** Each new sample multiplies the weight of the earlier ones by this factor. */
const DECAY_FACTOR = 0.998;
/** A measurement covers half a second; measurements closer together overlap. */
const MEASUREMENT_INTERVAL_MINIMUM_MS = 450;
const MEASUREMENT_INTERVAL_MAXIMUM_MS = 1_600;
/** Smaller changes in processor use are not distinguishable from noise; in square cores. */
const SQUARED_CHANGE_MINIMUM = 0.25;
const LOG_CHANGE_MAXIMUM = 1;
const MILLICORES_PER_CORE = 1_000;
const NO_IMAGE = '';

interface VmMeasurement {
  at: Instant;
  /** Cores in use by filler tasks, by image. */
  cores: Map<string, number>;
  /** Tail latency of serving tasks in milliseconds, by run key. */
  latencies: Map<string, number>;
}

export class InterferenceModel {
  /** Rises with each change of a pressure. */
  revision = 0;

  /** Estimated pressure by image. */
  private readonly pressures = new Map<string, number>();

  /** Least squares: decayed sums of the products of changes in processor use, for each pair of images. */
  private readonly useProducts = new Map<string, Map<string, number>>();

  /** Least squares: decayed sums of the products of changes in processor use and in log latency. */
  private readonly latencyProducts = new Map<string, number>();

  private readonly lastMeasurements = new Map<VmRecord, VmMeasurement>();

  /** Increase of the logarithm of the tail latency for each core that the image uses. */
  getPressure(image: string | null): number {
    return this.pressures.get(image ?? NO_IMAGE) ?? PRIOR_PRESSURE;
  }

  /** Estimated pressures by image, for the log. */
  describe(): Record<string, number> {
    return Object.fromEntries(
      [...this.pressures].map(([image, pressure]) => [image, Number(pressure.toFixed(3))]),
    );
  }

  /** Compares the measurements in a report with the previous ones of the VM and updates the pressures. */
  observe(vm: VmRecord, running: RunningTask[], now: Instant): void {
    const before = this.lastMeasurements.get(vm);
    if (before !== undefined && now - before.at < MEASUREMENT_INTERVAL_MINIMUM_MS) {
      return;
    }
    const measurement = measureVm(vm, running, now);
    this.lastMeasurements.set(vm, measurement);
    if (before !== undefined && now - before.at < MEASUREMENT_INTERVAL_MAXIMUM_MS) {
      this.updatePressures(before, measurement);
    }
  }

  private updatePressures(before: VmMeasurement, after: VmMeasurement): void {
    const logChange = computeMeanLogChange(before, after);
    if (logChange === null) {
      return;
    }
    const changes = new Map<string, number>();
    for (const image of new Set([...before.cores.keys(), ...after.cores.keys()])) {
      changes.set(image, (after.cores.get(image) ?? 0) - (before.cores.get(image) ?? 0));
    }
    const squaredChange = [...changes.values()].reduce((sum, change) => sum + change * change, 0);
    if (squaredChange >= SQUARED_CHANGE_MINIMUM) {
      this.addSample(changes, logChange);
      changes.forEach((_, image) => this.estimatePressure(image));
    }
  }

  private addSample(changes: Map<string, number>, logChange: number): void {
    for (const [image, change] of changes) {
      this.latencyProducts.set(
        image,
        (this.latencyProducts.get(image) ?? 0) * DECAY_FACTOR + change * logChange,
      );
      const row = this.useProducts.get(image) ?? new Map<string, number>();
      this.useProducts.set(image, row);
      for (const [other, otherChange] of changes) {
        row.set(other, (row.get(other) ?? 0) * DECAY_FACTOR + change * otherChange);
      }
    }
  }

  /** Does one step of coordinate descent on the least squares of all samples, with the prior pressure as prior. */
  private estimatePressure(image: string): void {
    const row = this.useProducts.get(image) ?? new Map<string, number>();
    let residual = (this.latencyProducts.get(image) ?? 0) + PRIOR_WEIGHT * PRIOR_PRESSURE;
    for (const [other, product] of row) {
      if (other !== image) {
        residual -= product * this.getPressure(other);
      }
    }
    const pressure = residual / ((row.get(image) ?? 0) + PRIOR_WEIGHT);
    this.revision += 1;
    this.pressures.set(image, Math.min(PRESSURE_MAXIMUM, Math.max(0, pressure)));
  }
}

function measureVm(vm: VmRecord, running: RunningTask[], at: Instant): VmMeasurement {
  const measurement: VmMeasurement = { at, cores: new Map(), latencies: new Map() };
  for (const { taskId, run, reading: value } of running) {
    const key = buildRunKey(taskId, run);
    const specification = vm.runs.get(key)?.task.step.specification;
    if (specification !== undefined && specification.latencyTargetMs !== null) {
      measurement.latencies.set(key, value);
    } else if (specification?.fills === true) {
      const image = specification.image ?? NO_IMAGE;
      const cores = value / MILLICORES_PER_CORE;
      measurement.cores.set(image, (measurement.cores.get(image) ?? 0) + cores);
    }
  }
  return measurement;
}

/** Mean change in log latency of the serving tasks; null when none has two measurements. */
function computeMeanLogChange(before: VmMeasurement, after: VmMeasurement): number | null {
  let sum = 0;
  let count = 0;
  for (const [key, latency] of after.latencies) {
    const earlierLatency = before.latencies.get(key) ?? 0;
    if (latency > 0 && earlierLatency > 0) {
      sum += Math.log(latency / earlierLatency);
      count += 1;
    }
  }
  if (count === 0) {
    return null;
  }
  return Math.max(-LOG_CHANGE_MAXIMUM, Math.min(LOG_CHANGE_MAXIMUM, sum / count));
}
