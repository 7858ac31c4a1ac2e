/**
 * Counts the crashes of VMs against the tasks that were at work there, most of which are bystanders, and gives a
 * task up after several of them.
 */
import type { Instant } from '@figjunction/time';
import { JobState, VmState } from '@figjunction/types';
import type { ReportParameters, VmAnnouncement } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { isFinished } from './job-table.js';
import { RunPhase } from './records.js';
import type { RunRecord, TaskRecord, VmRecord } from './records.js';

/** A task is given up after this many crashes if no other run was starting on the VM when the last one happened. */
const LONE_START_CRASHES_MAXIMUM = 3;
/** After this many crashes, a task is given up in any case. */
const CRASHES_MAXIMUM = 5;

/** The tasks that a crash of a VM has been counted against. */
export interface CrashOutcome {
  /** Tasks that most likely caused it: those that were starting. */
  suspects: TaskRecord[];
  /** Other tasks that were at work. */
  bystanders: TaskRecord[];
  /** Those of both that are given up now, which ends their jobs. */
  givenUp: TaskRecord[];
}

/** A run that was at work on a VM that crashed. */
type ImplicatedRun = Pick<RunRecord, 'task' | 'run' | 'percent' | 'isOnTrial'>;

export interface CrashOptions {
  state: CellState;
  vm: VmRecord;
  report: ReportParameters;
  /** True if the report shows a new incarnation that follows a crash of the one in the tables. */
  isNewCrash: boolean;
  now: Instant;
}

/**
 * True if the incarnation in the report follows a crash of the previous one. A loss of the whole machine also
 * restarts the runner process, and is not counted.
 */
export function isCrash(
  previous: VmAnnouncement,
  vm: VmRecord,
  { processId }: ReportParameters,
): boolean {
  return vm.processId === processId && previous.state !== VmState.Draining;
}

/**
 * Counts the crash of a VM against the tasks that were at work there. The runner tells of runs that are not in the
 * tables of a scheduler that has taken over since the crash. Returns null if the report shows no crash that has not
 * been counted. Call before the runs of the VM are removed.
 */
export function recordCrash(options: CrashOptions): CrashOutcome | null {
  const { state, isNewCrash, now } = options;
  const atWork = findImplicatedRuns(options);
  if (!isNewCrash && atWork.length === 0) {
    return null;
  }
  const suspects = findSuspects(atWork);
  const bystanders = atWork.filter((run) => !suspects.includes(run));
  atWork.forEach((run) => countCrash(state, run));
  const isAlone = suspects.length === 1;
  const givenUp = atWork
    .filter((run) => isHopeless(run, isAlone && suspects.includes(run)))
    .map(({ task }) => task)
    .filter((task) => giveUp(state, task, now));
  return {
    suspects: suspects.map(({ task }) => task),
    bystanders: bystanders.map(({ task }) => task),
    givenUp,
  };
}

function findImplicatedRuns({ state, vm, report, isNewCrash }: CrashOptions): ImplicatedRun[] {
  const known: ImplicatedRun[] = isNewCrash
    ? [...vm.runs.values(), ...vm.lapsedRuns].filter(isConfirmed)
    : [];
  const reported = report.crashed.flatMap(({ taskId, run, percent }) => {
    const task = state.findTask(taskId);
    const isKnown = known.some((other) => other.task === task && other.run === run);
    return task === null || isKnown ? [] : [{ task, run, percent, isOnTrial: false }];
  });
  return [...known, ...reported].filter((run) => !isCounted(run) && !isProven(run));
}

function isCounted({ task, run }: ImplicatedRun): boolean {
  return task.crashes.includes(run);
}

/** A VM that a task crashes mostly does so when the task starts. Beside a run on trial, no other starts. */
function findSuspects(atWork: ImplicatedRun[]): ImplicatedRun[] {
  const starting = atWork.filter(({ percent }) => percent === 0);
  const onTrial = starting.filter(({ isOnTrial }) => isOnTrial);
  return onTrial.length > 0 ? onTrial : starting;
}

function countCrash(state: CellState, { task, run }: ImplicatedRun): void {
  task.crashes = [...task.crashes, run];
  state.markDirty(task.step.occurrence);
}

function isHopeless({ task }: ImplicatedRun, wasStartingAlone: boolean): boolean {
  const maximum = wasStartingAlone ? LONE_START_CRASHES_MAXIMUM : CRASHES_MAXIMUM;
  return task.crashes.length >= maximum;
}

/** Returns true if this has ended the job. */
function giveUp(state: CellState, task: TaskRecord, now: Instant): boolean {
  const { occurrence } = task.step;
  if (task.done || isFinished(occurrence.state)) {
    return false;
  }
  state.finishOccurrence(occurrence, JobState.Failed, now);
  return true;
}

/** The runner reports the runs whose start got no response, if a call may have reached the VM. */
function isConfirmed({ phase }: RunRecord): boolean {
  return phase !== RunPhase.Ordered;
}

/** A long-running task has no progress beyond its startup, so one that is at work has shown that its VM bears it. */
function isProven({ task, percent }: ImplicatedRun): boolean {
  return task.step.specification.longRunning && percent > 0;
}

/** Forgets the crashes of a long-running task once it is at work: only its start can show that it crashes VMs. */
export function clearProvenTask(state: CellState, task: TaskRecord, percent: number): void {
  if (task.crashes.length > 0 && task.step.specification.longRunning && percent > 0) {
    task.crashes = [];
    state.markDirty(task.step.occurrence);
  }
}
