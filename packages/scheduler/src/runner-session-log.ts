/**
 * Writes the log lines and counters of the runners' reports: sessions, ends, crashes and silent VMs.
 */
import type {
  CrashOutcome,
  OrphanRun,
  RunRecord,
  TaskEnd,
  VmRecord,
} from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';
import type { EndedRun, ReportParameters, RunnerListResult } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import type { QueueActivity } from './queue-activity.js';

export class RunnerSessionLog {
  constructor(
    private readonly context: Pick<CellContext, 'events' | 'metrics'>,
    private readonly activity: QueueActivity,
  ) {}

  recordOvertakenReport(
    report: ReportParameters,
    highestSequence: number,
    currentSession: number,
  ): void {
    const { events, metrics } = this.context;
    metrics.count('reports_overtaken_total');
    events.write('report-overtaken', {
      vm: report.agentId,
      process: report.processId,
      sequence: report.sequence,
      highestSequence,
      session: report.session,
      currentSession,
    });
  }

  recordSilence({ agentId, vm, listAgeMs }: ReportParameters, isSilent: boolean): void {
    const fields = { vm: agentId, instance: vm?.instanceId, listAgeMs };
    this.context.events.write(isSilent ? 'vm-silent' : 'vm-answers', fields);
  }

  /** `runs` counts those that wait for the list of the VM. */
  recordLapse({ id, reportedAt, isSilent, runs }: VmRecord, now: Instant): void {
    const silentMs = Math.round(now - reportedAt);
    const fields = { vm: id, silentMs, vmSilent: isSilent, runs: runs.size };
    this.context.events.write('vm-lapsed', fields);
  }

  /** `newEnds` counts the ends that were not known. */
  recordAwaitedList(
    { id }: VmRecord,
    { running, hasUnlistedEnds }: RunnerListResult,
    newEnds: number,
  ): void {
    const fields = { vm: id, running: running.length, ended: newEnds, hasUnlistedEnds };
    this.context.events.write('list-applied', fields);
  }

  recordSession(report: ReportParameters, session: number, previousSession: number): void {
    const { agentId, processId, sequence, listAgeMs, vm, running, ended } = report;
    this.context.events.write('runner-session', {
      vm: agentId,
      process: processId,
      session,
      previousSession,
      sequence,
      listAgeMs,
      instance: vm?.instanceId,
      vmState: vm?.state,
      running: running?.length,
      ended: ended.length,
    });
  }

  /** Logs ends of tasks that are not in the tables. `done` lists the runs with a result, which is lost. */
  recordUnappliedEnds(
    {
      agentId: vm,
      epoch,
      session,
      listAgeMs,
    }: Pick<ReportParameters, 'agentId' | 'epoch' | 'session' | 'listAgeMs'>,
    ends: EndedRun[],
  ): void {
    if (ends.length === 0) {
      return;
    }
    const { events, metrics } = this.context;
    metrics.count('ends_unapplied_total', {}, ends.length);
    events.write('ends-unapplied', {
      vm,
      epoch,
      session,
      listAgeMs,
      ends: ends.length,
      firstSequence: ends[0]?.sequence,
      lastSequence: ends[ends.length - 1]?.sequence,
      done: ends
        .filter(({ ending }) => ending === RunEnding.Done)
        .map(({ taskId, run }) => ({ taskId, run })),
    });
  }

  recordCrash({ agentId, vm }: ReportParameters, outcome: CrashOutcome): void {
    const { events, metrics } = this.context;
    const { suspects, bystanders, givenUp } = outcome;
    metrics.count('vm_crashes_total');
    givenUp.forEach(({ step }) =>
      metrics.count('tasks_given_up_total', { queue: step.occurrence.job.policy.name }),
    );
    events.write('vm-crashed', {
      vm: agentId,
      instance: vm?.instanceId,
      suspects: suspects.map(({ id, crashes }) => ({ task: id, count: crashes.length })),
      bystanders: bystanders.length,
      givenUp: givenUp.map(({ id }) => id),
    });
  }

  recordWithdrawal({ task, run, vm, percent }: RunRecord): void {
    const reason = 'capacity-exceeded';
    const fields = { task: task.id, run, vm: vm.id, reason, percent };
    this.context.events.write('run-stopped', fields);
  }

  /** `listAgeMs` is the age of the list that shows the run; `isKnown` tells whether its task is in the tables. */
  recordOrphan(
    { agentId, epoch, session, listAgeMs }: ReportParameters,
    { taskId, run, specification }: OrphanRun,
  ): void {
    this.context.events.write('run-orphaned', {
      task: taskId,
      run,
      vm: agentId,
      epoch,
      session,
      listAgeMs,
      isKnown: specification !== null,
    });
  }

  recordEnd(vm: string, end: TaskEnd, now: Instant): void {
    const { events, metrics } = this.context;
    const { task, record, run, ending } = end;
    this.activity.recordEnd(end, now);
    const { occurrence, specification } = task.step;
    const tookMs = record === null ? undefined : Math.round(now - record.runningSince);
    metrics.count('runs_ended_total', { queue: occurrence.job.policy.name, ending });
    events.write('run-ended', {
      task: task.id,
      run,
      vm,
      ending,
      tookMs,
      estimateMs: specification.estimateMs,
      failures: task.failedRuns.length,
      sequence: end.sequence,
    });
  }
}
