/**
 * Test fixture: plays a seeded load of batch jobs against the placement of a cell, without processes or a
 * network, and records what callers get.
 */
import fc from 'fast-check';
import { JobState, RunEnding } from '@figjunction/types';
import type { QueuePolicy, StepSpecification } from '@figjunction/types';
import { addVm, createState, createStep, sendReport } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { createJob, createOccurrence } from './job-table.js';
import { placeTasks } from './place.js';
import { updateReadySteps } from './progress.js';
import { RunPhase } from './records.js';
import type { JobRecord, OccurrenceRecord, RunRecord } from './records.js';

export interface SimulatedLoad {
  seed: number;
  jobCount: number;
  /** Time from one job to the next. */
  intervalMs: number;
  vmCount: number;
  /** Mean number of tasks of a step; the largest steps have `LARGEST_STEP_FACTOR` times as many. */
  meanTaskCount: number;
  policy: QueuePolicy;
  /** Long-running jobs of a queue of the same priority, which come beside the batch jobs; none by default. */
  longRunning?: LongRunningLoad;
}

export interface LongRunningLoad {
  /** Jobs that are there before the first batch job. */
  initialJobCount: number;
  /** Time from one further job to the next. */
  intervalMs: number;
  tasksPerJob: number;
}

export interface LoadOutcome {
  jobs: JobOutcome[];
  /** Share of the processor capacity that long-running tasks held, on average while batch jobs came. */
  longRunningShare: number;
}

/** What the caller of one job got. */
export interface JobOutcome {
  taskCount: number;
  /** Time from submission to completion; null when the simulation ended before. */
  tookMs: number | null;
  /** Shortest possible time: the sum of the run times of its steps. */
  shortestMs: number;
}

const TICK_MS = 25;
const LARGEST_STEP_FACTOR = 6;
const PERCENT_CUBED = 1e6;
/** Time that the simulation goes on after the last job, so that jobs in time can end. */
const CLOSING_MS = 5_000;
const VM_CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 64_000, accelerators: 0 };
const LONG_RUNNING_RESOURCES = {
  processorMillicores: 3_200,
  memoryMegabytes: 6_400,
  accelerators: 0,
};
const TASK_RESOURCES = { processorMillicores: 950, memoryMegabytes: 1_900, accelerators: 0 };

/** The sizes of a job: steps with a number of tasks and a run time each. */
const stepSizes = (meanTaskCount: number) =>
  fc.noBias(
    fc.array(
      fc
        .record({
          // In percent; their product gives many small and few large steps.
          first: fc.integer({ min: 1, max: 100 }),
          second: fc.integer({ min: 1, max: 100 }),
          estimateMs: fc.integer({ min: 300, max: 1_300 }),
        })
        .map(({ first, second, estimateMs }) => ({
          taskCount: countTasks((first * second * second) / PERCENT_CUBED, meanTaskCount),
          estimateMs,
        })),
      { minLength: 1, maxLength: 2 },
    ),
  );

function countTasks(shareOfLargest: number, meanTaskCount: number): number {
  return Math.max(1, Math.round(shareOfLargest * LARGEST_STEP_FACTOR * meanTaskCount));
}

interface SimulatedRun {
  run: RunRecord;
  endsAt: number;
}

export function simulateLoad(load: SimulatedLoad): JobOutcome[] {
  return simulateMixedLoad(load).jobs;
}

export function simulateMixedLoad(load: SimulatedLoad): LoadOutcome {
  const sizes = fc.sample(stepSizes(load.meanTaskCount), {
    seed: load.seed,
    numRuns: load.jobCount,
  });
  const state = createState();
  for (let index = 0; index < load.vmCount; index += 1) {
    addVm(state, `vm-${index}`, { capacity: VM_CAPACITY });
  }
  const { longRunning } = load;
  submitLongRunning(state, load, 0, longRunning?.initialJobCount ?? 0);
  const occurrences: OccurrenceRecord[] = [];
  const endedAt = new Map<OccurrenceRecord, number>();
  const endMs = load.jobCount * load.intervalMs + CLOSING_MS;
  const shares: number[] = [];
  let running: SimulatedRun[] = [];
  for (let now = 0; now <= endMs; now += TICK_MS) {
    while (occurrences.length < sizes.length && occurrences.length * load.intervalMs <= now) {
      const steps = sizes[occurrences.length] ?? [];
      occurrences.push(submit(state, `job-${occurrences.length}`, steps, load.policy, now));
    }
    if (longRunning !== undefined && now > 0 && now % longRunning.intervalMs === 0) {
      submitLongRunning(state, load, now, 1);
    }
    running = endRuns(state, running, now);
    for (const run of placeTasks(state, now).started) {
      run.phase = RunPhase.Running;
      run.isSent = true;
      const { estimateMs, longRunning: lasts } = run.task.step.specification;
      running.push({ run, endsAt: lasts ? Number.POSITIVE_INFINITY : now + estimateMs });
    }
    if (occurrences.length < sizes.length) {
      shares.push(computeLongRunningShare(state));
    }
    for (const occurrence of occurrences) {
      if (occurrence.state === JobState.Completed && !endedAt.has(occurrence)) {
        endedAt.set(occurrence, now);
      }
    }
  }
  const jobs = occurrences.map((occurrence) => {
    const completedAt = endedAt.get(occurrence);
    return {
      taskCount: occurrence.steps.reduce((sum, { tasks }) => sum + tasks.length, 0),
      tookMs: completedAt === undefined ? null : completedAt - occurrence.dueAt,
      shortestMs: occurrence.steps.reduce((sum, step) => sum + step.specification.estimateMs, 0),
    };
  });
  return { jobs, longRunningShare: shares.reduce((sum, share) => sum + share, 0) / shares.length };
}

/** Long-running jobs are numbered from those that are there already. */
function submitLongRunning(
  state: CellState,
  { policy, longRunning }: SimulatedLoad,
  now: number,
  count: number,
): void {
  for (let index = 0; index < count; index += 1) {
    const step = createStep({
      taskCount: longRunning?.tasksPerJob ?? 0,
      resources: LONG_RUNNING_RESOURCES,
      longRunning: true,
      latencyTargetMs: 50,
    });
    const queue = { ...policy, name: 'watches' };
    addOccurrence(state, `watch-${state.jobs.size}`, [step], queue, now);
  }
}

function computeLongRunningShare(state: CellState): number {
  const vms = [...state.vms.values()];
  const held = vms.reduce((sum, { servingMillicores }) => sum + servingMillicores, 0);
  return held / (vms.length * VM_CAPACITY.processorMillicores);
}

function submit(
  state: CellState,
  id: string,
  sizes: { taskCount: number; estimateMs: number }[],
  policy: QueuePolicy,
  now: number,
): OccurrenceRecord {
  const steps = sizes.map((size, index) =>
    createStep({ ...size, resources: TASK_RESOURCES, after: index === 0 ? [] : [index - 1] }),
  );
  return addOccurrence(state, id, steps, policy, now);
}

function addOccurrence(
  state: CellState,
  id: string,
  steps: StepSpecification[],
  policy: QueuePolicy,
  now: number,
): OccurrenceRecord {
  const specification = { payload: '', steps, occurrences: 0, firstDueWallMs: 0, intervalMs: 0 };
  const job: JobRecord = createJob({ id, policy, specification, submittedAt: now });
  state.jobs.set(id, job);
  const occurrence = createOccurrence(job, 0, now, 0);
  state.activate(occurrence);
  updateReadySteps(occurrence, now);
  return occurrence;
}

/** Reports the ends that are due and returns the runs that go on. */
function endRuns(state: CellState, running: SimulatedRun[], now: number): SimulatedRun[] {
  for (const { run } of running.filter(({ endsAt }) => endsAt <= now)) {
    const { vm, task } = run;
    const sequence = vm.lastEndSequence + 1;
    const end = { sequence, taskId: task.id, run: run.run, ending: RunEnding.Done, checkpoint: '' };
    sendReport(state, vm, { session: vm.session, running: null, ended: [end] }, now);
  }
  return running.filter(({ endsAt }) => endsAt > now);
}
