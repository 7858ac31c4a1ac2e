/**
 * Answers the reports of runners and calls the runners of an earlier scheduler.
 */
import { toError } from '@figjunction/errors';
import { applyReport, lapseVms } from '@figjunction/scheduling';
import type { CellState, TaskEnd, VmRecord } from '@figjunction/scheduling';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { ReportParameters, ReportResult, RunAttributes } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';
import type { ProgressWriter } from './progress-writer.js';

export interface RunnerSessionsOptions {
  context: CellContext;
  state: CellState;
  lease: CellLease;
  writer: ProgressWriter;
  /** The tables have changed. */
  onChange: () => void;
}

/** A VM's clock may be this much slow. */
const MINIMUM_VM_CLOCK_RATE = 0.98;
const LEASE_EXPIRY_MARGIN_MS = 200;
/** Keeps the reports of all runners together under about 330 a second. */
const REPORT_PAUSE_MS_PER_RUNNER = 3;
const ADOPT_TIMEOUT_MS = 500;
const ADOPT_RETRY_DELAY_MS = 300;

/** How long after a grant the lease of a VM has surely expired. */
export function leaseExpiryDelayMs(grantMs: number): number {
  return grantMs / MINIMUM_VM_CLOCK_RATE + LEASE_EXPIRY_MARGIN_MS;
}

/** The answer to a runner that gets no session. */
export function createReportRefusal(epoch: number): ReportResult {
  return { epoch, session: 0, grantMs: 0, pauseMs: 0, settledThrough: 0, known: [] };
}

export class RunnerSessions {
  private lastSession = 0;

  constructor(private readonly options: RunnerSessionsOptions) {}

  /** A session of 0 tells the runner to send its whole list, or to come again. */
  handleReport(report: ReportParameters): ReportResult {
    const { context, state, lease, writer, onChange } = this.options;
    const refusal = createReportRefusal(lease.epoch);
    const vm = state.vms.get(report.agentId);
    if (!lease.isHeld()) {
      return refusal;
    }
    if (vm === undefined || vm.address !== report.address) {
      writer.registerRunner(report.agentId, report.address);
      onChange();
      return refusal;
    }
    const now = context.clock.now();
    this.expireLeases(now);
    const sessionBefore = vm.session;
    const openSession = (): number => {
      this.lastSession += 1;
      return this.lastSession;
    };
    const { accepted, ended } = applyReport({ state, vm, report, now, openSession });
    if (!accepted) {
      return refusal;
    }
    ended.forEach((end) => this.logEnd(report.agentId, end, now));
    const isNew = vm.session !== sessionBefore;
    if (isNew) {
      this.logSession(report, vm.session);
    }
    vm.lapseAt = now + leaseExpiryDelayMs(context.grantMs);
    onChange();
    const { session, settledThrough } = vm;
    const known = isNew ? runAttributesOf(state, vm) : [];
    const pauseMs = REPORT_PAUSE_MS_PER_RUNNER * state.vms.size;
    const { grantMs } = context;
    return { epoch: lease.epoch, session, grantMs, pauseMs, settledThrough, known };
  }

  /** Takes the runs off VMs whose lease has surely expired. */
  expireLeases(now: Instant): void {
    for (const vm of lapseVms(this.options.state, now)) {
      const silentMs = Math.round(now - vm.reportedAt);
      this.options.context.events.write('vm-lapsed', { vm: vm.id, silentMs });
    }
  }

  private logSession(report: ReportParameters, session: number): void {
    const { agentId, vm, running, ended } = report;
    this.options.context.events.write('runner-session', {
      vm: agentId,
      session,
      instance: vm?.instanceId,
      vmState: vm?.state,
      running: running?.length,
      ended: ended.length,
    });
  }

  private logEnd(vm: string, { task, record, run, ending }: TaskEnd, now: Instant): void {
    const { events, metrics } = this.options.context;
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
    });
  }

  /** Tells a runner who schedules now, until it has reported or its lease has surely expired. */
  async sendAdoptCalls(runnerId: string, address: string): Promise<void> {
    const { context, state, lease } = this.options;
    const { epoch } = lease;
    while (state.unheard.has(runnerId) && lease.epoch === epoch) {
      try {
        const parameters = { epoch, address: context.address };
        const options = { timeoutMs: ADOPT_TIMEOUT_MS, newConnection: true };
        await context.rpc.call(address, RpcMethod.RunnerAdopt, parameters, options);
      } catch (error) {
        const fields = { vm: runnerId, error: toError(error).message };
        context.events.write('runner-unreachable', fields);
      }
      await sleep(ADOPT_RETRY_DELAY_MS);
    }
  }
}

function runAttributesOf(state: CellState, vm: VmRecord): RunAttributes[] {
  return [...vm.runs.values()].map(({ task, run }) => {
    const { fills, latencyTargetMs } = task.step.specification;
    return { taskId: task.id, run, fills, latencyTargetMs, pressure: state.pressureOf(task.step) };
  });
}
