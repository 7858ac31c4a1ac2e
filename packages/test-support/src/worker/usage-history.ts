/**
 * Measurements of the fake worker, which a reader sees with a lag.
 */
import type { Clock, Instant, RandomSource } from '@figjunction/time';
import type { Resources, TaskUsage, WorkerUsage } from '@figjunction/types';
import { isBatch, isLive, trueUse } from './fake-task.js';
import type { FakeTask } from './fake-task.js';
import { slowdownOf } from './load-model.js';
import type { WorkerFaults } from './worker-faults.js';

const MEASUREMENT_INTERVAL_MS = 500;
const HISTORY_MS = 60_000;

/** Measurements differ from the truth by up to this fraction. */
const MEASUREMENT_ERROR = 0.03;

export interface UsageHistoryOptions {
  clock: Clock;
  random: RandomSource;
  capacity: Resources;
  faults: WorkerFaults;
}

export class UsageHistory {
  private measurements: WorkerUsage[] = [];

  constructor(private readonly options: UsageHistoryOptions) {}

  /** Takes a measurement when one is due. */
  measure(tasks: FakeTask[]): void {
    const now = this.options.clock.now();
    const last = this.measurements[this.measurements.length - 1];
    if (last !== undefined && now - last.measuredAtHostMs < MEASUREMENT_INTERVAL_MS) {
      return;
    }
    const measured = tasks.filter(isLive).map((task) => this.measureTask(task, tasks));
    this.measurements.push({ measuredAtHostMs: now, tasks: measured });
    this.measurements = this.measurements.filter((one) => one.measuredAtHostMs > now - HISTORY_MS);
  }

  /** The newest measurement that is at least as old as the lag. */
  visible(): WorkerUsage {
    const { clock, faults } = this.options;
    const newestVisible: Instant = clock.now() - faults.usageLagMs;
    const visible = this.measurements.filter((one) => one.measuredAtHostMs <= newestVisible);
    return visible[visible.length - 1] ?? { measuredAtHostMs: newestVisible, tasks: [] };
  }

  private measureTask(task: FakeTask, tasks: FakeTask[]): TaskUsage {
    const { capacity, faults } = this.options;
    const { taskId, kind } = task.start;
    const use = trueUse(task);
    return {
      taskId,
      kind,
      used: {
        processorMillicores: Math.round(use.processorMillicores * this.error()),
        memoryMegabytes: use.memoryMegabytes,
        accelerators: use.accelerators,
      },
      slowdown: isBatch(task) ? null : slowdownOf(kind, tasks, capacity, faults) * this.error(),
    };
  }

  private error(): number {
    return 1 + (2 * this.options.random.fraction() - 1) * MEASUREMENT_ERROR;
  }
}
