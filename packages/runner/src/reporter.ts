/**
 * Reports to the scheduler what runs and ends on the VM, and follows it from one scheduler to the next.
 * When nobody schedules the cell, this process offers itself.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { RpcClient } from '@figjunction/rpc';
import type { OwnerDirectory, OwnerView } from '@figjunction/scheduler';
import { sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { CellOwnerRow, ReportResult, RunAnswer } from '@figjunction/types';
import { ReportContents } from './report-builder.js';
import type { ReportedChanges } from './report-builder.js';
import { Silence, Succession } from './takeover-policy.js';
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
  /** Takes the cell over; the reason goes into the log. */
  takeOver: (view: OwnerView, reason: string) => Promise<void>;
}

const REFUSAL_PATIENCE_MS = 600;

const REPORT_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 1_500;
const RETRY_MS = 120;

export class Reporter {
  /** The scheduler's session; 0 for none. */
  session = 0;

  /** Epoch of the scheduler that this process follows. */
  epoch = 0;

  /** Until when the last grant runs, on this process's clock. */
  private grantedUntil: Instant = 0;

  /** No report before this time. */
  private notBefore: Instant = 0;

  private readonly contents: ReportContents;

  private wakeUp = new AbortController();

  private woken = false;

  private stopped = false;

  private useNewConnection = false;

  private refusedSince: Instant | null = null;

  private readonly succession: Succession;

  constructor(private readonly options: ReporterOptions) {
    this.succession = new Succession(options);
    this.contents = new ReportContents(options.clock);
  }

  private get identity() {
    const { runnerId, address, processId } = this.options;
    return { agentId: runnerId, address, processId };
  }

  /** True while orders of the session may be carried out. */
  accepts(epoch: number, session: number): boolean {
    const isCurrent = epoch === this.epoch && session === this.session && session !== 0;
    return isCurrent && this.options.clock.now() < this.grantedUntil;
  }

  addAnswer(answer: RunAnswer): void {
    this.contents.addAnswer(answer);
    this.wake();
  }

  /** Sends a report at once, or right after the one that is on its way. */
  wake(): void {
    this.woken = true;
    this.wakeUp.abort();
  }

  /** A new life of the VM: ends count from the start again. */
  startAnew(): void {
    this.contents.startAnew();
    this.session = 0;
    this.wake();
  }

  /** Follows a scheduler with a higher epoch. */
  follow(epoch: number): void {
    if (epoch > this.epoch) {
      this.epoch = epoch;
      this.session = 0;
      this.contents.startAnew();
      this.options.session()?.relist();
      this.wake();
    }
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      this.woken = false;
      const delayMs = await this.reportOnce();
      await sleep(this.notBefore - this.options.clock.now());
      if (!this.woken) {
        this.wakeUp = new AbortController();
        await sleep(delayMs, this.wakeUp.signal);
      }
    }
  }

  /** Returns how long to wait for the next report. */
  private async reportOnce(): Promise<number> {
    const { directory, events } = this.options;
    const { owner } = directory;
    try {
      if (owner === null) {
        return await this.findOwner(Silence.Unknown, null);
      }
      this.follow(owner.epoch);
      return await this.exchange(owner);
    } catch (error) {
      this.useNewConnection = true;
      const { message } = toError(error);
      events.write('report-failed', { owner: owner?.address, epoch: this.epoch, error: message });
      return this.findOwnerSafely(Silence.Unanswered, owner?.epoch ?? null);
    }
  }

  private async exchange({ address, epoch }: CellOwnerRow): Promise<number> {
    const vmSession = this.options.session();
    if (vmSession?.lease.hasExpired() === true) {
      await vmSession.lookNow();
      this.session = 0;
    }
    const sentAt = this.options.clock.now();
    const vmMs = vmSession?.earliestVmMs() ?? null;
    const report = this.contents.describe(vmSession, this.epoch, this.session);
    const parameters = { ...this.identity, ...report };
    const result = await this.options.rpc.call(address, RpcMethod.RunnerReport, parameters, {
      timeoutMs: REPORT_TIMEOUT_MS,
      newConnection: this.useNewConnection,
    });
    this.useNewConnection = false;
    if (result.epoch === 0) {
      return this.findOwnerSafely(Silence.OtherProcess, epoch);
    }
    if (result.epoch !== this.epoch) {
      this.follow(result.epoch);
      return RETRY_MS;
    }
    if (result.session === 0) {
      this.session = 0;
      return this.waitForSession(epoch);
    }
    this.refusedSince = null;
    this.notBefore = sentAt + result.pauseMs;
    this.accept(result, report, vmSession, sentAt);
    if (vmMs !== null) {
      vmSession?.lease.grantUntil(vmMs + result.grantMs);
    }
    return REPORT_INTERVAL_MS;
  }

  /** A scheduler that gives no session for long may have lost its lease without knowing a successor. */
  private async waitForSession(epoch: number): Promise<number> {
    const now = this.options.clock.now();
    this.refusedSince ??= now;
    if (now - this.refusedSince < REFUSAL_PATIENCE_MS) {
      return RETRY_MS;
    }
    return this.findOwnerSafely(Silence.Refused, epoch);
  }

  private accept(
    result: ReportResult,
    report: ReportedChanges,
    vmSession: VmSession | null,
    sentAt: Instant,
  ): void {
    this.session = result.session;
    this.grantedUntil = sentAt + result.grantMs;
    const isCurrent = vmSession !== null && vmSession === this.options.session();
    this.contents.acknowledge(report, isCurrent ? vmSession : null);
    if (isCurrent) {
      vmSession.settle(result.settledThrough);
      result.known.forEach((attributes) => vmSession.runs.describe(attributes));
    }
  }

  private async findOwnerSafely(silence: Silence, askedEpoch: number | null): Promise<number> {
    try {
      return await this.findOwner(silence, askedEpoch);
    } catch (error) {
      this.options.events.write('owner-unknown', { silence, error: toError(error).message });
      return RETRY_MS;
    }
  }

  /**
   * Reads who schedules; takes over when nobody does any more. The epoch is that of the scheduler that was
   * asked: another one may have announced itself since.
   */
  private async findOwner(silence: Silence, askedEpoch: number | null): Promise<number> {
    const { directory, clock, takeOver } = this.options;
    const view = await directory.refresh();
    if (view === null) {
      return RETRY_MS;
    }
    if (this.succession.mayTakeOver(view, silence, askedEpoch, clock.now())) {
      await takeOver(view, silence);
      this.wake();
    }
    return RETRY_MS;
  }
}
