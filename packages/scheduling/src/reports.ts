/**
 * Applies what runners report: sessions, lives of VMs, answers to orders, running tasks and ends.
 */
import type { Instant } from '@figjunction/time';
import { RunEnding, StartRefusal } from '@figjunction/types';
import type { ReportParameters, RunningTask, RunReference } from '@figjunction/types';
import type { CellState } from './cell-state.js';
import { isFinished } from './job-table.js';
import { removeAllRuns } from './lapse.js';
import { applyEnd } from './progress.js';
import type { TaskEnd } from './progress.js';
import { RunPhase, instanceKeyOf, runKey } from './records.js';
import type { RunRecord, TaskRecord, VmRecord } from './records.js';
import { noteFailure, noteRefusal, noteSuccess } from './vm-health.js';

export interface ReportOptions {
  state: CellState;
  vm: VmRecord;
  report: ReportParameters;
  now: Instant;
  /** Gives the number of a new session. */
  openSession: () => number;
}

export interface ReportOutcome {
  /** False when the runner has to send its whole list first. */
  accepted: boolean;
  /** Ends that were new. */
  ended: TaskEnd[];
}

export function applyReport(options: ReportOptions): ReportOutcome {
  const { state, vm, report, now } = options;
  const continues =
    vm.session !== 0 && report.session === vm.session && report.processId === vm.processId;
  if (!continues && report.running === null) {
    dropDepartedVm(options);
    return { accepted: false, ended: [] };
  }
  vm.reportedAt = now;
  vm.address = report.address;
  vm.pressureAllowance = report.pressureAllowance;
  updateInstance(state, vm, report, now);
  if (!continues) {
    openSession(options);
  }
  const ended = applyEnds(state, vm, report, now);
  applyAnswers(state, vm, report, now);
  if (report.running !== null) {
    report.running.forEach((running) => applyRunning(state, vm, running, now));
    state.interference.observe(vm, report.running, now);
  }
  if (!continues) {
    resendOrders(state, vm, report, now);
  }
  state.unheard.delete(vm.id);
  return { accepted: true, ended };
}

/** A runner that has known its VM and knows none now has seen it leave, which ends all its runs. */
function dropDepartedVm({ state, vm, report, now }: ReportOptions): void {
  if (report.vm === null && vm.session !== 0 && report.processId === vm.processId) {
    vm.session = 0;
    vm.announcement = null;
    vm.lastEnd = 0;
    vm.settledThrough = 0;
    removeAllRuns(state, vm, now);
  }
}

function updateInstance(
  state: CellState,
  vm: VmRecord,
  report: ReportParameters,
  now: Instant,
): void {
  const before = vm.announcement;
  vm.announcement = report.vm;
  if (before === null || report.vm === null || instanceKeyOf(before) === instanceKeyOf(report.vm)) {
    return;
  }
  // A new life of the VM runs nothing of the one before.
  removeAllRuns(state, vm, now);
  vm.orphans.clear();
  vm.lastEnd = 0;
  vm.settledThrough = 0;
  vm.health = { failedJobs: new Set(), succeededAt: null, cooledUntil: 0 };
}

function openSession({ vm, report, openSession: nextSession }: ReportOptions): void {
  vm.session = nextSession();
  vm.processId = report.processId;
  if (vm.lapsed) {
    // The tasks may have been started elsewhere since the lease expired, so these ends no longer count.
    vm.lastEnd = Math.max(vm.lastEnd, ...report.ended.map(({ sequence }) => sequence));
    vm.lapsed = false;
  }
}

function applyEnds(
  state: CellState,
  vm: VmRecord,
  report: ReportParameters,
  now: Instant,
): TaskEnd[] {
  const applied: TaskEnd[] = [];
  for (const { sequence, taskId, run, ending, checkpoint } of report.ended) {
    if (sequence > vm.lastEnd) {
      vm.lastEnd = sequence;
      const task = state.findTask(taskId);
      const record = vm.runs.get(runKey(taskId, run)) ?? null;
      vm.orphans.delete(runKey(taskId, run));
      if (task !== null) {
        task.lastRun = Math.max(task.lastRun, run);
        noteHealth(vm, task, ending, now);
        const end: TaskEnd = { task, record, run, ending, checkpoint };
        applyEnd(state, end, now);
        applied.push(end);
      }
    }
  }
  report.vanished.forEach((reference) => dropRun(state, vm, reference, now));
  return applied;
}

function noteHealth(vm: VmRecord, task: TaskRecord, ending: RunEnding, now: Instant): void {
  if (ending === RunEnding.Done) {
    noteSuccess(vm, now);
  } else if (ending === RunEnding.Failed && !task.step.specification.longRunning) {
    noteFailure(vm, task, now);
  }
}

function dropRun(
  state: CellState,
  vm: VmRecord,
  { taskId, run }: RunReference,
  now: Instant,
): void {
  const record = vm.runs.get(runKey(taskId, run));
  vm.orphans.delete(runKey(taskId, run));
  if (record !== undefined) {
    state.removeRun(record, now);
  }
}

export function applyAnswers(
  state: CellState,
  vm: VmRecord,
  { answers }: Pick<ReportParameters, 'answers'>,
  now: Instant,
): void {
  for (const answer of answers) {
    const record = vm.runs.get(runKey(answer.taskId, answer.run));
    if (record !== undefined && answer.refusal === null) {
      confirm(record, now);
    } else if (record !== undefined && answer.refusal !== null) {
      if (answer.refusal === StartRefusal.InvalidTicket) {
        record.task.step.tickets.delete(vm.announcement?.instanceId ?? '');
      }
      noteRefusal(vm, answer.refusal, now);
      state.removeRun(record, now);
    }
  }
}

function confirm(record: RunRecord, now: Instant): void {
  if (record.phase === RunPhase.Ordered) {
    record.phase = RunPhase.Running;
    record.runningSince = now;
    record.percentChangedAt = now;
  }
}

function applyRunning(state: CellState, vm: VmRecord, running: RunningTask, now: Instant): void {
  const record = vm.runs.get(runKey(running.taskId, running.run)) ?? adopt(state, vm, running, now);
  if (record === null) {
    return;
  }
  confirm(record, now);
  if (running.percent !== record.percent) {
    record.percent = running.percent;
    record.percentChangedAt = now;
  }
  record.reading = running.reading;
  if (running.checkpoint !== '') {
    record.task.checkpoint = running.checkpoint;
  }
}

/** Takes over a run that an earlier scheduler started, or has it stopped when it must not go on. */
function adopt(
  state: CellState,
  vm: VmRecord,
  { taskId, run }: RunningTask,
  now: Instant,
): RunRecord | null {
  const task = state.findTask(taskId);
  if (task === null || !isAdoptable(task)) {
    if (!vm.orphans.has(runKey(taskId, run))) {
      vm.orphans.set(runKey(taskId, run), { taskId, run, sendAt: now });
    }
    return null;
  }
  return state.addRun({ task, vm, run, phase: RunPhase.Running, now });
}

function isAdoptable(task: TaskRecord): boolean {
  const { occurrence, specification } = task.step;
  const isFree = task.runs.length === 0 || specification.duplicatesAllowed;
  return !task.done && !occurrence.job.cancelled && !isFinished(occurrence.state) && isFree;
}

/** After a new session: what is not listed is gone; unanswered orders go out again. */
function resendOrders(
  state: CellState,
  vm: VmRecord,
  report: ReportParameters,
  now: Instant,
): void {
  const listed = new Set((report.running ?? []).map(({ taskId, run }) => runKey(taskId, run)));
  for (const [key, record] of vm.runs) {
    if (record.phase === RunPhase.Ordered) {
      record.sendAt = now;
    } else if (!listed.has(key)) {
      state.removeRun(record, now);
    }
  }
}
