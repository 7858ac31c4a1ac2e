/**
 * Advances the tasks of the fake worker with time: suspends those whose lease has passed, adds up work,
 * completes and fails.
 */
import { WorkerTaskState } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import type { Clock, Instant, RandomSource } from '@figjunction/time';
import { ExecutionEvent } from './execution-log.js';
import type { ExecutionLog } from './execution-log.js';
import { isBatch, progressOf } from './fake-task.js';
import type { FakeTask } from './fake-task.js';
import { contention, totalUse } from './load-model.js';
import type { UsageHistory } from './usage-history.js';
import type { WorkerFaults } from './worker-faults.js';

const TICK_MS = 10;

/** Time beyond this in one step is a pause of the process and counts as no work. */
const STEP_MS_MAXIMUM = 250;

/** With everything failing, an attempt fails within this much work. */
const FAST_FAILURE_MS = 50;

/** A failing attempt fails after a part of its work in this range. */
const FAILURE_FRACTION_MINIMUM = 0.05;
const FAILURE_FRACTION_RANGE = 0.4;

export interface TaskTickerOptions {
  clock: Clock;
  random: RandomSource;
  capacity: Resources;
  faults: WorkerFaults;
  tasks: Map<string, FakeTask>;
  log: ExecutionLog;
  usage: UsageHistory;
}

export class TaskTicker {
  private timer: NodeJS.Timeout | null = null;

  private advancedAt: Instant;

  private wasOverCapacity = false;

  constructor(private readonly options: TaskTickerOptions) {
    this.advancedAt = options.clock.now();
  }

  start(): void {
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  stop(): void {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
  }

  /** Chooses after how much work a failing attempt fails. */
  planFailure(task: FakeTask): void {
    const { faults, random } = this.options;
    const fraction = FAILURE_FRACTION_MINIMUM + random.fraction() * FAILURE_FRACTION_RANGE;
    const failsAfterMs = task.model.durationMs * fraction;
    task.failsAtMs =
      task.workDoneMs +
      (faults.failEverything ? Math.min(FAST_FAILURE_MS, failsAfterMs) : failsAfterMs);
  }

  /** Suspends tasks whose lease has passed and resumes those whose lease was extended. */
  applyLeases(): void {
    const now = this.options.clock.now();
    for (const task of this.options.tasks.values()) {
      const passed = now >= task.leaseDeadline;
      if (task.state === WorkerTaskState.Running && passed) {
        this.change(task, WorkerTaskState.Suspended, ExecutionEvent.TaskSuspend);
      } else if (task.state === WorkerTaskState.Suspended && !passed) {
        this.change(task, WorkerTaskState.Running, ExecutionEvent.TaskResume);
      }
    }
  }

  /** Brings the work done up to now. */
  advance(): void {
    this.applyLeases();
    const { clock, capacity, faults, tasks } = this.options;
    const now = clock.now();
    const elapsedMs = Math.min(now - this.advancedAt, STEP_MS_MAXIMUM);
    this.advancedAt = now;
    const speed = faults.speed / contention(tasks.values(), capacity);
    for (const task of tasks.values()) {
      if (isBatch(task) && task.state === WorkerTaskState.Running) {
        task.workDoneMs += elapsedMs * task.throttle * speed;
        this.finish(task);
      }
    }
  }

  private tick(): void {
    this.advance();
    this.recordOverCapacity();
    this.options.usage.measure([...this.options.tasks.values()]);
  }

  private finish(task: FakeTask): void {
    if (task.failsAtMs !== null && task.workDoneMs >= task.failsAtMs) {
      task.failureReason = 'the task ended with an error';
      this.change(task, WorkerTaskState.Failed, ExecutionEvent.TaskFail);
    } else if (task.workDoneMs >= task.model.durationMs) {
      this.change(task, WorkerTaskState.Completed, ExecutionEvent.TaskComplete);
    }
  }

  private recordOverCapacity(): void {
    const { capacity, tasks, log } = this.options;
    const use = totalUse(tasks.values());
    const isOver =
      use.processorMillicores > capacity.processorMillicores ||
      use.memoryMegabytes > capacity.memoryMegabytes ||
      use.accelerators > capacity.accelerators;
    if (isOver && !this.wasOverCapacity) {
      const detail = JSON.stringify(use);
      const event = ExecutionEvent.OverCapacity;
      log.add({ event, taskId: '', attempt: 0, incarnation: 0, kind: '', detail });
    }
    this.wasOverCapacity = isOver;
  }

  private change(task: FakeTask, state: WorkerTaskState, event: ExecutionEvent): void {
    const { taskId, attempt, kind } = task.start;
    task.state = state;
    const { incarnation } = task;
    this.options.log.add({ event, taskId, attempt, incarnation, kind, progress: progressOf(task) });
  }
}
