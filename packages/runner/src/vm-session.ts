/**
 * Session with one incarnation of the VM: extends the VM's lease as far as the scheduler has granted and
 * tracks its runs by long polling.
 */
import { toError } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import type { RunReference, VmAnnouncement } from '@figjunction/types';
import { FillerPacer } from './filler-pacer.js';
import { IncarnationGuard } from './incarnation-guard.js';
import { PollPause } from './poll-pause.js';
import { RunTable } from './run-table.js';
import { VmAnswers } from './vm-answers.js';
import { VmClock } from './vm-clock.js';
import { VmLease } from './vm-lease.js';
import { VmSessionLog } from './vm-session-log.js';
import { ListOutcome } from './vm-session-options.js';
import type { ListRequest, VmSessionOptions } from './vm-session-options.js';
import { HoldRefusal } from './vm-host.js';
import type { HoldResult } from './vm-host.js';

/** Longest wait of a long poll. */
const HOLD_WAIT_MS = 900;
/** Shorter wait while a serving task runs, because pacing filler tasks needs recent measurements. */
const PACING_WAIT_MS = 300;
const RETRY_DELAY_MS = 150;

export class VmSession {
  readonly runs = new RunTable();

  /** Vanished runs that the scheduler has not yet received. */
  vanished: RunReference[] = [];

  /** Sequence number of the last end that is acknowledged. */
  settledThrough = 0;

  /** Highest epoch under which a list was requested and applied; 0 before the first list. */
  listedEpoch = 0;

  announcement: VmAnnouncement;

  readonly answers = new VmAnswers();

  private readonly vmClock: VmClock;

  private readonly pacer: FillerPacer;

  readonly lease: VmLease;

  readonly incarnation: IncarnationGuard;

  private hasStopped = false;

  private readonly pause = new PollPause();

  private readonly log: VmSessionLog;

  constructor(private readonly options: VmSessionOptions) {
    this.announcement = options.announcement;
    this.log = new VmSessionLog(options.events, options.announcement.instanceId);
    this.vmClock = new VmClock(options.clock);
    this.lease = new VmLease(this.vmClock);
    this.incarnation = new IncarnationGuard(options);
    this.pacer = new FillerPacer(options.host, options.events, options.clock);
  }

  get pressureAllowance(): number | null {
    return this.pacer.allowance;
  }

  /** Lower bound of the VM's clock now; null before its first response. */
  vmClockLowerBoundMs(): number | null {
    return this.vmClock.lowerBoundMs();
  }

  acknowledgeEnds(sequence: number): void {
    if (sequence > this.settledThrough) {
      this.settledThrough = sequence;
      this.wake();
    }
  }

  /** Extends the granted lease, and tells the VM at once if its lease may expire before the next poll. */
  grantLease(untilVmMs: number): void {
    if (this.lease.grantUntil(untilVmMs) && !this.hasStopped) {
      this.confirmLease().catch((error: unknown) => this.log.recordFailure(toError(error)));
    }
  }

  /** A request to an unconfirmed incarnation carries no lease, so it takes a second one. */
  private async confirmLease(): Promise<void> {
    if (!this.incarnation.isConfirmed) {
      await this.requestList(0);
    }
    await this.requestList(0);
  }

  /** True once the VM has left or restarted, or the runner has stopped. */
  get isStopped(): boolean {
    return this.hasStopped;
  }

  /** Ends the pause before the next poll. Does not interrupt a poll in progress. */
  wake(): void {
    this.pause.wake();
  }

  stop(): void {
    this.hasStopped = true;
    this.wake();
  }

  async run(): Promise<void> {
    while (!this.hasStopped) {
      try {
        await this.poll();
      } catch (error) {
        this.log.recordFailure(toError(error));
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  /** Requests a list without waiting for an end, concurrently with a long poll in progress. */
  refreshInBackground(): void {
    this.requestList(0).catch((error: unknown) => this.log.recordFailure(toError(error)));
  }

  /**
   * Requests a list without waiting for an end. Returns false if the VM refused the request or its list could not
   * be applied.
   */
  async refresh(): Promise<boolean> {
    return (await this.requestList(0)) !== ListOutcome.NotApplied;
  }

  private get hasUnsettledEnds(): boolean {
    return this.runs.unacknowledged.some(({ sequence }) => sequence > this.settledThrough);
  }

  private async poll(): Promise<void> {
    const waitMs = this.pacer.hasServingTask(this.runs) ? PACING_WAIT_MS : HOLD_WAIT_MS;
    const isListAwaited =
      this.hasUnsettledEnds || this.listedEpoch === 0 || this.answers.isUnanswered;
    const outcome = await this.requestList(isListAwaited ? 0 : waitMs);
    if (outcome === ListOutcome.NotApplied) {
      await this.pause.wait(RETRY_DELAY_MS);
    } else if (this.hasUnsettledEnds) {
      await this.pause.waitForAcknowledgement(outcome === ListOutcome.NewEnds);
    }
  }

  /** Extends the lease and applies the returned list. A list of another incarnation stops the session. */
  private async requestList(waitMs: number): Promise<ListOutcome> {
    if (this.hasStopped) {
      return ListOutcome.NotApplied;
    }
    const requestedAt = this.options.clock.now();
    const requestedEpoch = this.options.epoch();
    const untilVmMs = this.incarnation.isConfirmed ? this.lease.untilVmMs : null;
    const result = await this.callHold(waitMs, requestedAt, requestedEpoch);
    if (result === HoldRefusal.Fenced || result === HoldRefusal.OtherInstance) {
      this.log.recordRefusal(result, requestedEpoch);
      this.options.onChange();
      return ListOutcome.NotApplied;
    }
    this.log.recordResponse();
    if (result.bornWallMs !== this.announcement.bornWallMs) {
      this.log.recordRestart(this.announcement.bornWallMs, result.bornWallMs);
      this.stop();
      return ListOutcome.NotApplied;
    }
    if (this.isOvertaken(result)) {
      return ListOutcome.NotApplied;
    }
    this.lease.confirm(untilVmMs);
    return this.applyList(result, { requestedAt, requestedEpoch });
  }

  private async callHold(waitMs: number, requestedAt: Instant, epoch: number) {
    try {
      return await this.incarnation.hold({
        instanceId: this.options.announcement.instanceId,
        epoch,
        leaseUntilVmMs: this.lease.untilVmMs,
        settledThrough: this.settledThrough,
        waitMs: this.lease.limitWaitMs(waitMs),
      });
    } catch (error) {
      this.answers.recordFailure(requestedAt);
      throw error;
    }
  }

  private applyList(result: HoldResult, { requestedAt, requestedEpoch }: ListRequest): ListOutcome {
    const { clock, announcement, epoch } = this.options;
    const now = clock.now();
    const { ended, vanished, unexpected } = this.runs.apply(result, requestedAt, now);
    this.vanished.push(...vanished);
    this.log.recordUnexpectedRuns(unexpected, requestedEpoch, now - requestedAt);
    this.log.recordExpiry(ended, result, this.lease.untilVmMs);
    const wasSilent = this.answers.recordList(requestedAt, now);
    const isFirstOfEpoch = this.listedEpoch !== requestedEpoch;
    this.listedEpoch = Math.max(this.listedEpoch, requestedEpoch);
    this.pacer.adjust(this.runs, { instanceId: announcement.instanceId, epoch: epoch() });
    if (ended.length > 0 || vanished.length > 0 || isFirstOfEpoch || wasSilent) {
      this.options.onChange();
    }
    return ended.length > 0 ? ListOutcome.NewEnds : ListOutcome.Unchanged;
  }

  /** True if a later list has been applied, as the clock of the VM in both shows. */
  private isOvertaken({ vmClockMs }: HoldResult): boolean {
    const lastMs = this.vmClock.observe(vmClockMs);
    if (lastMs === null) {
      return false;
    }
    this.log.recordOvertakenList(vmClockMs, lastMs);
    return true;
  }
}
