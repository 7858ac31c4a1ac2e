/**
 * Applies the reports of runners: sessions, VM incarnations, responses to orders, running tasks and ends.
 */
import type { Instant } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { EndedRun, ReportParameters, RunningTask } from '@figjunction/types';
import { forgetAdvice } from './advice.js';
import type { CellState } from './cell-state.js';
import { clearProvenTask, isCrash, recordCrash } from './crashes.js';
import type { CrashOutcome } from './crashes.js';
import { applyEnds, forgetEnds } from './ends.js';
import { removeAllRuns } from './lease-expiry.js';
import { adoptRun, listNewOrphans, removeUnlistedOrphans } from './orphans.js';
import { delayAfterRefusal, setCheckpoint } from './progress.js';
import type { TaskEnd } from './progress.js';
import { RunPhase, buildInstanceKey, buildRunKey } from './records.js';
import type { OrphanRun, RunRecord, VmRecord } from './records.js';
import { settleEnds } from './settlement.js';
import { reconcileRuns, settleUnlistedRuns } from './unlisted-runs.js';
import { createVmHealth, recordRefusal } from './vm-health.js';
import { withdrawExcessOrders } from './withdraw.js';
import { beginObservation, observeProgress } from './work-estimates.js';

/** A VM that has left its runner without an answer for this long gets no runs. A single lost answer takes less. */
const SILENCE_MINIMUM_MS = 1_000;
/** A list that is later than this is overdue, and its VM counts as silent. */
const LIST_DELAY_MAXIMUM_MS = 700;

export interface ReportOptions {
  state: CellState;
  vm: VmRecord;
  report: ReportParameters;
  now: Instant;
  /** The session that the report opens if it lists all runs; null if it opens none. */
  openedSession: number | null;
}

export interface ReportOutcome {
  /** False when the runner has to open a session first. */
  accepted: boolean;
  /** Ends that were applied for the first time. */
  ended: TaskEnd[];
  /** Ends that are acknowledged although they were not applied: their tasks are not in the tables. */
  unapplied: EndedRun[];
  /** Null if the report shows no crash of the VM. */
  crash: CrashOutcome | null;
  /** Runs whose start orders the capacity of the VM no longer holds. */
  withdrawn: RunRecord[];
  /** Runs that the report lists for the first time and that are to be stopped: no job wants them any more. */
  orphaned: OrphanRun[];
}

/** Applies one report, which belongs to the current session or opens a session with a list of all runs. */
export function applyReport(options: ReportOptions): ReportOutcome {
  const { state, vm, report, now, openedSession } = options;
  const isSameSession =
    vm.session !== 0 && report.session === vm.session && report.processId === vm.processId;
  const isOpening = openedSession !== null && report.running !== null;
  if (!isSameSession && !isOpening) {
    clearDepartedVm(options);
    return {
      accepted: false,
      ended: [],
      unapplied: [],
      crash: null,
      withdrawn: [],
      orphaned: [],
    };
  }
  vm.reportedAt = now;
  vm.isSilent = report.silentMs >= SILENCE_MINIMUM_MS;
  vm.address = report.address;
  vm.pressureAllowance = report.pressureAllowance;
  // A refusal shows that the run was not on the VM, also if the VM has crashed since.
  applyOrderResponses(state, vm, report, now);
  const crash = updateInstance(state, vm, report, now);
  if (isOpening) {
    openSession(vm, report, openedSession);
  }
  const knownOrphans = new Set(vm.orphans.keys());
  const { applied, unknown: unapplied } = applyEnds(state, vm, report, now);
  if (report.running !== null) {
    excludeSilence(vm, state.listIntervalMs, now);
    removeUnlistedOrphans(vm, report.running);
    report.running.forEach((running) => applyRunning(state, vm, running, now));
    state.interference.observe(vm, report.running, now);
  }
  if (isOpening) {
    reconcileRuns(state, vm, report, now);
  }
  settleUnlistedRuns(state, vm, report, now);
  settleEnds(vm);
  const withdrawn = withdrawExcessOrders(state, vm, now);
  const orphaned = listNewOrphans(vm, knownOrphans);
  return { accepted: true, ended: applied, unapplied, crash, withdrawn, orphaned };
}

/** A runner process that reported its VM and now reports none has seen the VM leave, which ends all its runs. */
function clearDepartedVm({ state, vm, report, now }: ReportOptions): void {
  if (report.vm === null && report.processId === vm.processId) {
    vm.session = 0;
    vm.announcement = null;
    forgetEnds(vm);
    removeAllRuns(state, vm, now);
  }
}

/** Returns what a crash of the VM has led to; null if there was none. */
function updateInstance(
  state: CellState,
  vm: VmRecord,
  report: ReportParameters,
  now: Instant,
): CrashOutcome | null {
  const previous = vm.announcement;
  vm.announcement = report.vm;
  const isNewIncarnation =
    previous !== null &&
    report.vm !== null &&
    buildInstanceKey(previous) !== buildInstanceKey(report.vm);
  const isNewCrash = isNewIncarnation && isCrash(previous, vm, report);
  const crash = recordCrash({ state, vm, report, isNewCrash, now });
  if (!isNewIncarnation) {
    return crash;
  }
  // A new incarnation of the VM has none of the runs of the previous one.
  removeAllRuns(state, vm, now);
  forgetEnds(vm);
  vm.health = createVmHealth();
  return crash;
}

function openSession(vm: VmRecord, report: ReportParameters, session: number): void {
  vm.session = session;
  vm.processId = report.processId;
  vm.listAwaitedUntil = null;
  vm.lapsedRuns = [];
}

/**
 * Applies the responses of a runner to start orders: confirms the run, or removes it when it was refused. Only the
 * refusal of the last sending removes it: a later sending than the refused one may have started the run or may
 * still be on its way.
 */
export function applyOrderResponses(
  state: CellState,
  vm: VmRecord,
  { answers }: Pick<ReportParameters, 'answers'>,
  now: Instant,
): void {
  for (const answer of answers) {
    const record = vm.runs.get(buildRunKey(answer.taskId, answer.run));
    if (record !== undefined && answer.refusal === null) {
      beginObservation(record, now);
      confirmRunning(record, now);
    } else if (answer.refusal !== null && record?.attempt === answer.attempt) {
      if (answer.refusal === StartRefusal.InvalidTicket) {
        forgetAdvice(record.task.step, vm);
      }
      recordRefusal(vm, answer.refusal, now);
      delayAfterRefusal(record.task, now);
      state.removeRun(record, now);
    }
  }
}

/** Moves the times of the last progress forward by the time in which a list of the VM was overdue. */
function excludeSilence(vm: VmRecord, listIntervalMs: number, now: Instant): void {
  const silentMs = now - vm.listedAt - listIntervalMs - LIST_DELAY_MAXIMUM_MS;
  vm.listedAt = now;
  if (silentMs > 0) {
    for (const run of vm.runs.values()) {
      run.percentChangedAt = Math.min(now, run.percentChangedAt + silentMs);
    }
  }
}

function confirmRunning(record: RunRecord, now: Instant): void {
  record.task.refusals = 0;
  record.task.step.occurrence.hasBegun = true;
  if (record.phase === RunPhase.Ordered) {
    record.phase = RunPhase.Running;
    record.runningSince = now;
    record.percentChangedAt = now;
  }
}

function applyRunning(state: CellState, vm: VmRecord, running: RunningTask, now: Instant): void {
  const record =
    vm.runs.get(buildRunKey(running.taskId, running.run)) ?? adoptRun(state, vm, running, now);
  if (record === null) {
    return;
  }
  confirmRunning(record, now);
  record.measurement = running.reading;
  observeProgress(record, running.percent, now);
  if (running.percent !== record.percent) {
    record.percent = running.percent;
    record.percentChangedAt = now;
    clearProvenTask(state, record.task, running.percent);
  }
  if (running.checkpoint !== '' && running.checkpoint !== record.listedCheckpoint) {
    record.listedCheckpoint = running.checkpoint;
    setCheckpoint(record.task, running.checkpoint);
  }
}
