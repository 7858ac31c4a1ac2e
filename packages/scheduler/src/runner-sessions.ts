/**
 * Handles the reports of runners, opens their sessions and expires the leases of their VMs.
 */
import {
  applyAwaitedList,
  applyReport,
  computeReportPace,
  expireVmLeases,
} from '@figjunction/scheduling';
import type { CellState, VmRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import type {
  ReportParameters,
  ReportResult,
  RunAttributes,
  RunnerListResult,
} from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';
import { ExpiredVmLists } from './expired-vm-lists.js';
import type { ProgressWriter } from './progress-writer.js';
import { QueueActivity } from './queue-activity.js';
import { ReportSequences } from './report-sequences.js';
import { RunnerSessionLog } from './runner-session-log.js';
import { SessionOffers } from './session-offers.js';

export interface RunnerSessionsOptions {
  context: CellContext;
  state: CellState;
  lease: Pick<CellLease, 'epoch' | 'isHeld'>;
  writer: Pick<ProgressWriter, 'registerRunner'>;
  /** Requests a tick after a change of the tables. */
  wake: () => void;
  /** Counts the ends of runs for the summaries of the queues. */
  activity?: QueueActivity;
}

/** Lower bound of the rate of a VM's clock, relative to the clock of this process. */
const MINIMUM_VM_CLOCK_RATE = 0.98;
const LEASE_EXPIRY_MARGIN_MS = 200;

/** Returns the time after a grant by which the lease must have expired, even on the slowest VM clock. */
export function leaseExpiryDelayMs(grantMs: number): number {
  return grantMs / MINIMUM_VM_CLOCK_RATE + LEASE_EXPIRY_MARGIN_MS;
}

/** Returns the response to a runner that gets no session. */
export function createReportRefusal(epoch: number): ReportResult {
  const pace = { pauseMs: 0, listIntervalMs: 0 };
  return {
    epoch,
    session: 0,
    offeredSession: 0,
    grantMs: 0,
    ...pace,
    settledThrough: 0,
    known: [],
  };
}

export class RunnerSessions {
  private readonly offers = new SessionOffers();

  private readonly reportSequences = new ReportSequences();

  private readonly log: RunnerSessionLog;

  private readonly expiredVmLists: ExpiredVmLists;

  constructor(private readonly options: RunnerSessionsOptions) {
    this.log = new RunnerSessionLog(options.context, options.activity ?? new QueueActivity());
    const onList = (vm: VmRecord, list: RunnerListResult): void => this.applyList(vm, list);
    this.expiredVmLists = new ExpiredVmLists({ ...options, onList });
  }

  /**
   * Applies a report. One that was built for another scheduler is refused: it may leave out ends that only that
   * scheduler has received, as happens when a new process follows at the same address. One that is overtaken by
   * a later report is refused as well, since it would undo what that one told. A runner without a session is
   * offered one, which it opens with a list of all its runs.
   */
  handleReport(report: ReportParameters): ReportResult {
    const { context, state, lease, writer, wake } = this.options;
    const refusal = createReportRefusal(lease.epoch);
    const vm = state.vms.get(report.agentId);
    if (vm !== undefined && this.isOvertaken(report, vm)) {
      return refusal;
    }
    if (!lease.isHeld() || report.epoch !== lease.epoch) {
      return refusal;
    }
    if (vm === undefined || vm.address !== report.address) {
      writer.registerRunner(report.agentId, report.address);
      wake();
      return refusal;
    }
    const now = context.clock.now();
    this.expireLeases(now);
    const { session: sessionBefore, isSilent: wasSilent } = vm;
    const openedSession = this.offers.accept(report, now);
    const outcome = applyReport({ state, vm, report, now, openedSession });
    const { accepted, ended, unapplied, crash, withdrawn, orphaned } = outcome;
    if (!accepted) {
      return report.vm === null
        ? refusal
        : { ...refusal, offeredSession: this.offers.create(report, now) };
    }
    if (crash !== null) {
      this.log.recordCrash(report, crash);
    }
    ended.forEach((end) => this.log.recordEnd(report.agentId, end, now));
    this.log.recordUnappliedEnds(report, unapplied);
    withdrawn.forEach((run) => this.log.recordWithdrawal(run));
    orphaned.forEach((orphan) => this.log.recordOrphan(report, orphan));
    const isNew = vm.session !== sessionBefore;
    if (isNew) {
      this.log.recordSession(report, vm.session, sessionBefore);
    }
    if (vm.isSilent !== wasSilent) {
      this.log.recordSilence(report, vm.isSilent);
    }
    const grantMs = this.extendLease(vm, report, isNew, now);
    wake();
    const { session, settledThrough } = vm;
    const known = isNew ? runAttributesOf(state, vm) : [];
    const pace = computeReportPace(state.vms.size, context.processorLoad.utilization());
    state.listIntervalMs = pace.listIntervalMs;
    return {
      epoch: lease.epoch,
      session,
      offeredSession: 0,
      grantMs,
      ...pace,
      settledThrough,
      known,
    };
  }

  /**
   * Returns how long the runner may extend the lease of its VM, less by the time in which the VM may have crashed
   * unnoticed. A session begins with the full bound, since an earlier scheduler may have granted as much.
   */
  private extendLease(
    vm: VmRecord,
    { silentMs }: ReportParameters,
    isNewSession: boolean,
    now: Instant,
  ): number {
    const grantMs = Math.max(0, this.options.context.grantMs - silentMs);
    const boundMs = isNewSession ? this.options.context.grantMs : grantMs;
    if (boundMs > 0) {
      vm.leaseExpiresAt = Math.max(vm.leaseExpiresAt, now + leaseExpiryDelayMs(boundMs));
    }
    return grantMs;
  }

  /** Gives up the runs of VMs whose lease must have expired by the slowest VM clock, and asks for their lists before. */
  expireLeases(now: Instant): void {
    const { closed, awaited } = expireVmLeases(this.options.state, now);
    for (const vm of closed) {
      this.offers.withdraw(vm.id);
      this.log.recordLapse(vm, now);
    }
    awaited.forEach((vm) => this.expiredVmLists.request(vm));
  }

  /** Applies the list of a VM that has no session and whose lease has expired. */
  private applyList(vm: VmRecord, list: RunnerListResult): void {
    const { context, state, lease, wake } = this.options;
    const now = context.clock.now();
    const { applied, unknown } = applyAwaitedList(state, vm, list, now);
    this.log.recordAwaitedList(vm, list, applied.length);
    applied.forEach((end) => this.log.recordEnd(vm.id, end, now));
    const source = { agentId: vm.id, epoch: lease.epoch, session: vm.session, listAgeMs: 0 };
    this.log.recordUnappliedEnds(source, unknown);
    wake();
  }

  /** True for a report that was overtaken or repeated, which is logged and counted. */
  private isOvertaken(report: ReportParameters, vm: VmRecord): boolean {
    const highestSequence = this.reportSequences.observe(report);
    if (highestSequence === null) {
      return false;
    }
    this.log.recordOvertakenReport(report, highestSequence, vm.session);
    return true;
  }
}

function runAttributesOf(state: CellState, vm: VmRecord): RunAttributes[] {
  return [...vm.runs.values()].map(({ task, run }) => {
    const { fills, latencyTargetMs } = task.step.specification;
    return {
      taskId: task.id,
      run,
      fills,
      latencyTargetMs,
      pressure: state.estimatePressure(task.step),
    };
  });
}
