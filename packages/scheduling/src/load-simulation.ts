/**
 * Test fixture: plays a seeded load of batch jobs against the placement of a cell, without processes or a
 * network, and records what callers get.
 */
import fc from 'fast-check';
import { JobState, RunEnding } from '@figjunction/types';
import type { QueuePolicy } from '@figjunction/types';
import { addVm, createState, createStep, sendReport } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { createJob, createOccurrence } from './job-table.js';
import { placeTasks } from './place.js';
import { updateReadySteps } from './progress.js';
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
  const sizes = fc.sample(stepSizes(load.meanTaskCount), {
    seed: load.seed,
    numRuns: load.jobCount,
  });
  const state = createState();
  for (let index = 0; index < load.vmCount; index += 1) {
    addVm(state, `vm-${index}`, { capacity: VM_CAPACITY });
  }
  const occurrences: OccurrenceRecord[] = [];
  const endedAt = new Map<OccurrenceRecord, number>();
  const endMs = load.jobCount * load.intervalMs + CLOSING_MS;
  let running: SimulatedRun[] = [];
  for (let now = 0; now <= endMs; now += TICK_MS) {
    while (occurrences.length < sizes.length && occurrences.length * load.intervalMs <= now) {
      const steps = sizes[occurrences.length] ?? [];
      occurrences.push(submit(state, `job-${occurrences.length}`, steps, load.policy, now));
    }
    running = endRuns(state, running, now);
    for (const run of placeTasks(state, now).started) {
      running.push({ run, endsAt: now + run.task.step.specification.estimateMs });
    }
    for (const occurrence of occurrences) {
      if (occurrence.state === JobState.Completed && !endedAt.has(occurrence)) {
        endedAt.set(occurrence, now);
      }
    }
  }
  return occurrences.map((occurrence) => {
    const completedAt = endedAt.get(occurrence);
    return {
      taskCount: occurrence.steps.reduce((sum, { tasks }) => sum + tasks.length, 0),
      tookMs: completedAt === undefined ? null : completedAt - occurrence.dueAt,
      shortestMs: occurrence.steps.reduce((sum, step) => sum + step.specification.estimateMs, 0),
    };
  });
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
