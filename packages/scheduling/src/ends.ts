/**
 * Applies the ended and vanished runs of a report, each end once. An end counts however late it is told, also after the
 * lease of the VM has expired and its task has started elsewhere: the run did end so.
 */
import type { Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { EndedRun, ReportParameters, RunReference } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { applyEnd } from './progress.js';
import type { TaskEnd } from './progress.js';
import { buildRunKey } from './records.js';
import type { VmRecord } from './records.js';
import { recordFailure, recordSuccess } from './vm-health.js';

export interface EndsOutcome {
  applied: TaskEnd[];
  /** Ends of tasks that are not in the tables. They are acknowledged as well. */
  unknown: EndedRun[];
}

/** The next incarnation of the VM numbers its ends anew. */
export function forgetEnds(vm: VmRecord): void {
  vm.lastEndSequence = 0;
  vm.settledThrough = 0;
  vm.unsettledEnds = [];
}

/** Applies the ends that have not been applied yet, and removes the vanished runs. */
export function applyEnds(
  state: CellState,
  vm: VmRecord,
  report: Pick<ReportParameters, 'ended' | 'vanished'>,
  now: Instant,
): EndsOutcome {
  const applied: TaskEnd[] = [];
  const unknown: EndedRun[] = [];
  for (const ended of report.ended) {
    const { sequence, taskId, run, ending, checkpoint } = ended;
    if (sequence > vm.lastEndSequence) {
      vm.lastEndSequence = sequence;
      const task = state.findTask(taskId);
      const record = vm.runs.get(buildRunKey(taskId, run)) ?? null;
      vm.orphans.delete(buildRunKey(taskId, run));
      if (task === null) {
        unknown.push(ended);
      } else {
        task.highestRunNumber = Math.max(task.highestRunNumber, run);
        const end: TaskEnd = { sequence, task, record, run, ending, checkpoint };
        recordHealth(vm, end, now);
        applyEnd(state, end, now);
        applied.push(end);
        const { occurrence } = task.step;
        const { lastChange: change } = occurrence;
        vm.unsettledEnds.push({ sequence, occurrence, change, appliedAt: now });
      }
    }
  }
  report.vanished.forEach((reference) => removeVanishedRun(state, vm, reference, now));
  return { applied, unknown };
}

function recordHealth(vm: VmRecord, { task, record, ending }: TaskEnd, now: Instant): void {
  if (ending === RunEnding.Done) {
    recordSuccess(vm, now);
  } else if (ending === RunEnding.Failed && !task.step.specification.longRunning) {
    // A run that is not in the tables was placed by an earlier scheduler.
    recordFailure(vm, task, record?.placedAt ?? Number.NEGATIVE_INFINITY, now);
  }
}

function removeVanishedRun(
  state: CellState,
  vm: VmRecord,
  { taskId, run }: RunReference,
  now: Instant,
): void {
  const record = vm.runs.get(buildRunKey(taskId, run));
  vm.orphans.delete(buildRunKey(taskId, run));
  if (record !== undefined) {
    state.removeRun(record, now);
  }
}
