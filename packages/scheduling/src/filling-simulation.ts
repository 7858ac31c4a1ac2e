/**
 * Test fixture: plays a seeded load of jobs whose tasks fill unused processor time, and whose estimates are wrong,
 * against the placement of a cell, without processes or a network.
 */
import fc from 'fast-check';
import { JobState, RunEnding } from '@figjunction/types';
import type { RunningTask } from '@figjunction/types';
import {
  LESS_URGENT_POLICY,
  addJob,
  addVm,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import { placeTasks } from './place.js';
import type { OccurrenceRecord, RunRecord, StepRecord, VmRecord } from './records.js';

export interface FillingLoad {
  seed: number;
  jobCount: number;
  /** Time from one job to the next. */
  intervalMs: number;
  vmCount: number;
  /** The estimate of a step is off by up to this factor, either way. */
  estimateFactorMaximum: number;
}

/** What the caller of one job got. */
export interface FillingOutcome {
  /** Time from submission to completion; null when the simulation ended before. */
  tookMs: number | null;
  objectiveMs: number;
}

const POLICY = { ...LESS_URGENT_POLICY, slackFactor: 1.5, objectiveMs: 1_000 };
const TICK_MS = 25;
/** Time from one list of the runs of a VM to the next. */
const LIST_INTERVAL_MS = 500;
/** Time that the simulation goes on after the last job, so that jobs in time can end. */
const CLOSING_MS = 15_000;
const VM_CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 64_000, accelerators: 0 };
const TASK_RESOURCES = { processorMillicores: 1_800, memoryMegabytes: 3_200, accelerators: 0 };
const TASK_COUNT_MAXIMUM = 80;
const TASK_MS_MAXIMUM = 6_800;
const FULL_PERCENT = 100;

interface SimulatedStep {
  taskCount: number;
  taskMs: number;
  /** From -100 for the largest underestimate to 100. */
  estimateError: number;
}

const simulatedSteps = fc.noBias(
  fc.array(
    fc.record({
      taskCount: fc.integer({ min: 4, max: TASK_COUNT_MAXIMUM }),
      taskMs: fc.integer({ min: 1_000, max: TASK_MS_MAXIMUM }),
      estimateError: fc.integer({ min: -FULL_PERCENT, max: FULL_PERCENT }),
    }),
    { minLength: 1, maxLength: 3 },
  ),
);

interface SimulatedRun {
  run: RunRecord;
  startedAt: number;
  taskMs: number;
}

/** Plays one load. */
class FillingSimulation {
  private readonly state = createState();

  private readonly taskMs = new Map<StepRecord, number>();

  private readonly endedAt = new Map<OccurrenceRecord, number>();

  private running: SimulatedRun[] = [];

  constructor(private readonly load: FillingLoad) {
    for (let index = 0; index < load.vmCount; index += 1) {
      addVm(this.state, `vm-${index}`, { capacity: VM_CAPACITY });
    }
  }

  play(): FillingOutcome[] {
    const { seed, jobCount, intervalMs } = this.load;
    const jobs = fc.sample(simulatedSteps, { seed, numRuns: jobCount });
    const occurrences: OccurrenceRecord[] = [];
    for (let now = 0; now <= jobCount * intervalMs + CLOSING_MS; now += TICK_MS) {
      while (occurrences.length < jobs.length && occurrences.length * intervalMs <= now) {
        occurrences.push(this.submit(jobs[occurrences.length] ?? [], occurrences.length, now));
      }
      this.endRuns(now);
      this.startRuns(now);
      if (now % LIST_INTERVAL_MS === 0) {
        this.state.vms.forEach((vm) => this.reportList(vm, now));
      }
      for (const occurrence of occurrences) {
        if (occurrence.state === JobState.Completed && !this.endedAt.has(occurrence)) {
          this.endedAt.set(occurrence, now);
        }
      }
    }
    return occurrences.map((occurrence) => this.describe(occurrence));
  }

  private submit(steps: SimulatedStep[], index: number, now: number): OccurrenceRecord {
    const specifications = steps.map(({ taskCount, taskMs, estimateError }, stepIndex) =>
      createStep({
        taskCount,
        estimateMs: taskMs * this.load.estimateFactorMaximum ** (estimateError / FULL_PERCENT),
        resources: TASK_RESOURCES,
        after: stepIndex === 0 ? [] : [stepIndex - 1],
        fills: true,
        checkpoints: true,
      }),
    );
    const id = `job-${index}`;
    const job = addJob(this.state, { id, steps: specifications, policy: POLICY, dueAt: now });
    const occurrence = job.occurrences.get(0);
    if (occurrence === undefined) {
      throw new TypeError('a job has at least one occurrence');
    }
    occurrence.steps.forEach((step, stepIndex) =>
      this.taskMs.set(step, steps[stepIndex]?.taskMs ?? 0),
    );
    return occurrence;
  }

  private startRuns(now: number): void {
    for (const run of placeTasks(this.state, now).started) {
      run.isSent = true;
      this.running.push({ run, startedAt: now, taskMs: this.taskMs.get(run.task.step) ?? 0 });
      const { vm, task, attempt } = run;
      const answers = [{ taskId: task.id, run: run.run, attempt, refusal: null }];
      sendReport(this.state, vm, { session: vm.session, running: null, answers }, now);
    }
  }

  private reportList(vm: VmRecord, now: number): void {
    const running: RunningTask[] = this.running
      .filter(({ run }) => run.vm === vm)
      .map(({ run, startedAt, taskMs }) => ({
        taskId: run.task.id,
        run: run.run,
        checkpoint: '',
        percent: Math.floor((FULL_PERCENT * (now - startedAt)) / taskMs),
        reading: TASK_RESOURCES.processorMillicores,
      }));
    sendReport(this.state, vm, { session: vm.session, running }, now);
  }

  private endRuns(now: number): void {
    const isOver = ({ startedAt, taskMs }: SimulatedRun): boolean => startedAt + taskMs <= now;
    const ended = this.running.filter(isOver);
    this.running = this.running.filter((run) => !isOver(run));
    for (const { run } of ended) {
      const { vm, task } = run;
      const sequence = vm.lastEndSequence + 1;
      const reference = { taskId: task.id, run: run.run };
      const end = { sequence, ...reference, ending: RunEnding.Done, checkpoint: '' };
      sendReport(this.state, vm, { session: vm.session, running: null, ended: [end] }, now);
    }
  }

  private describe(occurrence: OccurrenceRecord): FillingOutcome {
    const endedAt = this.endedAt.get(occurrence);
    const shortestMs = occurrence.steps.reduce(
      (sum, step) => sum + (this.taskMs.get(step) ?? 0),
      0,
    );
    return {
      tookMs: endedAt === undefined ? null : endedAt - occurrence.dueAt,
      objectiveMs: POLICY.slackFactor * shortestMs + POLICY.objectiveMs,
    };
  }
}

export function simulateFillingLoad(load: FillingLoad): FillingOutcome[] {
  return new FillingSimulation(load).play();
}
