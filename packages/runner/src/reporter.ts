/**
 * Periodically reports the VM's runs to the cell's scheduler and switches to the new one after a takeover.
 * If no scheduler is available, this process takes the cell over.
 */
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { RpcClient } from '@figjunction/rpc';
import type { OwnerDirectory, OwnerView } from '@figjunction/scheduler';
import { sleep } from '@figjunction/time';
import type { Clock, Instant, RandomSource } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { CellOwnerRow, CrashedRun, ReportResult, RunAnswer } from '@figjunction/types';
import { OpeningList } from './opening-list.js';
import { OWNER_RETRY_DELAY_MS, OwnerSearch } from './owner-search.js';
import { ReportBuilder } from './report-builder.js';
import type { ReportedChanges } from './report-builder.js';
import { SchedulerFailure } from './takeover-policy.js';
import { SchedulerSession } from './scheduler-session.js';
import type { VmSession } from './vm-session.js';

export interface ReporterOptions {
  clock: Clock;
  events: EventLog;
  rpc: RpcClient;
  directory: OwnerDirectory;
  runnerId: string;
  address: string;
  processId: string;
  session: () => VmSession | null;
  /** Spreads the reports of all runners after a take-over or an outage. */
  random: RandomSource;
  /** Takes the cell over; the reason is logged. */
  takeOver: (view: OwnerView, reason: string) => Promise<void>;
}

/** How long the scheduler may respond without a session before the owner is looked up again. */
const NO_SESSION_TIMEOUT_MS = 600;
/** Interval of reports while no list is due, because there is no VM or it does not respond. */
const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 1_500;
/**
 * For the reports that request and open a session. After a take-over all runners send them at the same time, and a
 * repeated one makes the scheduler do the same work again.
 */
const SESSION_TIMEOUT_MS = 3_000;
/**
 * A report without an answer in time is repeated after up to this long. Runners that repeat at the same moment
 * overflow the queue of new connections of the scheduler again and again.
 */
const REPEAT_SPREAD_MS = 1_000;

export class Reporter {
  /** Epoch of the scheduler that receives the reports. */
  epoch = 0;

  private readonly session: SchedulerSession;

  /** Earliest time of the next report, requested by the scheduler. */
  private notBefore: Instant = 0;

  private readonly reportBuilder: ReportBuilder;

  private readonly openingList: OpeningList;

  private wakeUp = new AbortController();

  private isWakeRequested = false;

  private isStopped = false;

  private withoutSessionSince: Instant | null = null;

  private readonly ownerSearch: OwnerSearch;

  constructor(private readonly options: ReporterOptions) {
    this.ownerSearch = new OwnerSearch({ ...options, onSearched: () => this.wake() });
    this.reportBuilder = new ReportBuilder(options.clock);
    this.openingList = new OpeningList(options.events);
    this.session = new SchedulerSession(options.clock);
  }

  /** True if the epoch and session are current and the grant has not expired. */
  acceptsOrders(epoch: number, session: number): boolean {
    return epoch === this.epoch && this.session.accepts(session);
  }

  addStartResult(result: RunAnswer): void {
    this.reportBuilder.addStartResult(result);
    this.wake();
  }

  /** Sends the next report without delay, after any report in progress. */
  wake(): void {
    this.isWakeRequested = true;
    this.wakeUp.abort();
  }

  /** Drops the session and resends all ends: the VM has left, or begun anew after it has crashed under these runs. */
  reset(crashed: CrashedRun[] = []): void {
    this.reportBuilder.addCrashedRuns(crashed);
    this.reportBuilder.resendEnds();
    this.session.drop();
    this.wake();
  }

  /** Switches to the scheduler with this epoch if the epoch is higher than the current one. */
  follow(epoch: number): void {
    if (epoch > this.epoch) {
      this.epoch = epoch;
      this.session.drop();
      this.reportBuilder.resendEnds();
      this.options.session()?.refreshInBackground();
      this.wake();
    }
  }

  stop(): void {
    this.isStopped = true;
    this.wake();
  }

  async run(): Promise<void> {
    while (!this.isStopped) {
      this.isWakeRequested = false;
      const delayMs = await this.reportOnce();
      await sleep(this.notBefore - this.options.clock.now());
      if (!this.isWakeRequested) {
        this.wakeUp = new AbortController();
        await sleep(delayMs, this.wakeUp.signal);
      }
    }
  }

  /** Returns the delay until the next report, in milliseconds. */
  private async reportOnce(): Promise<number> {
    const { directory, events, random } = this.options;
    const { owner } = directory;
    try {
      if (owner === null) {
        return await this.ownerSearch.search(SchedulerFailure.NoneKnown, null);
      }
      this.follow(owner.epoch);
      return await this.sendReport(owner);
    } catch (error) {
      const { message } = toError(error);
      events.write('report-failed', {
        owner: owner?.address,
        epoch: this.epoch,
        sequence: this.reportBuilder.lastSequence,
        error: message,
      });
      const delayMs = await this.ownerSearch.trySearch(
        SchedulerFailure.NoResponse,
        owner?.epoch ?? null,
      );
      const hasNewOwner = directory.owner?.epoch !== owner?.epoch;
      if (errorCodeOf(error) === ErrorCode.TimedOut && !hasNewOwner) {
        this.notBefore = this.options.clock.now() + random.fraction() * REPEAT_SPREAD_MS;
      }
      return delayMs;
    }
  }

  private async sendReport({ address, epoch }: CellOwnerRow): Promise<number> {
    const vmSession = this.options.session();
    if (this.session.hasOffer && !(await this.openingList.request(vmSession))) {
      this.session.takeOffer();
      // A VM that answers again wakes this process.
      return vmSession?.answers.isUnanswered === true ? REPORT_INTERVAL_MS : OWNER_RETRY_DELAY_MS;
    }
    const { generation } = this.session;
    const sentAt = this.options.clock.now();
    const vmMs = vmSession?.vmClockLowerBoundMs() ?? null;
    const report = this.reportBuilder.build(vmSession, {
      epoch: this.epoch,
      session: this.session.current,
      offeredSession: this.session.takeOffer(),
    });
    const { runnerId: agentId, address: ownAddress, processId } = this.options;
    const parameters = { agentId, address: ownAddress, processId, ...report };
    const result = await this.options.rpc.call(address, RpcMethod.RunnerReport, parameters, {
      timeoutMs: this.session.isOpen ? REPORT_TIMEOUT_MS : SESSION_TIMEOUT_MS,
    });
    if (result.epoch === 0) {
      return this.ownerSearch.trySearch(SchedulerFailure.NotScheduling, epoch);
    }
    if (result.epoch !== this.epoch) {
      this.follow(result.epoch);
      return OWNER_RETRY_DELAY_MS;
    }
    if (generation !== this.session.generation) {
      return 0;
    }
    this.session.apply(result, sentAt);
    if (!this.session.isOpen) {
      const isFirstOffer = report.offeredSession === 0 && this.session.hasOffer;
      return isFirstOffer ? 0 : this.retryWithoutSession(epoch);
    }
    this.withoutSessionSince = null;
    this.notBefore = sentAt + result.pauseMs;
    this.applyResult(result, report, vmSession);
    if (vmMs !== null && result.grantMs > 0) {
      vmSession?.grantLease(vmMs + result.grantMs);
    }
    return this.delayUntilList();
  }

  private delayUntilList(): number {
    const delayMs = this.reportBuilder.listDueAt - this.options.clock.now();
    return delayMs > 0 ? delayMs : REPORT_INTERVAL_MS;
  }

  /** A scheduler that opens no session may have lost its lease without knowing its successor. */
  private async retryWithoutSession(epoch: number): Promise<number> {
    const now = this.options.clock.now();
    this.withoutSessionSince ??= now;
    if (now - this.withoutSessionSince < NO_SESSION_TIMEOUT_MS) {
      return OWNER_RETRY_DELAY_MS;
    }
    return this.ownerSearch.trySearch(SchedulerFailure.NoSession, epoch);
  }

  private applyResult(
    result: ReportResult,
    report: ReportedChanges,
    vmSession: VmSession | null,
  ): void {
    const isCurrent = vmSession !== null && vmSession === this.options.session();
    const { listIntervalMs } = result;
    this.reportBuilder.acknowledge(report, isCurrent ? vmSession : null, listIntervalMs);
    if (isCurrent) {
      vmSession.acknowledgeEnds(result.settledThrough);
      result.known.forEach((attributes) => vmSession.runs.setAttributes(attributes));
    }
  }
}
