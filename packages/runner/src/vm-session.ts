/**
 * One life of the VM: extends its lease as far as the scheduler has granted, and follows its runs.
 */
import { toError } from '@figjunction/errors';
import { Outage } from '@figjunction/logger';
import type { EventLog } from '@figjunction/logger';
import { sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import type { RunReference, VmAnnouncement } from '@figjunction/types';
import { FillPacer } from './filler-pacer.js';
import { LapseDetector, lastEnd } from './lease-expiry-detector.js';
import type { LapseVerdict } from './lease-expiry-detector.js';
import { RunTable } from './run-table.js';
import { VmClock } from './vm-clock.js';
import { VmLease } from './vm-lease.js';
import { HoldRefusal } from './vm-host.js';
import type { HoldResult, VmHost } from './vm-host.js';

export interface VmSessionOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
  announcement: VmAnnouncement;
  /** Epoch of the scheduler that this process follows; 0 while none is known. */
  epoch: () => number;
  /** Until when an earlier process may have extended the lease of the VM, on this process's clock. */
  inheritedLeaseUntil: Instant;
  /** New ends or vanished runs have to be reported. */
  onChange: () => void;
}

/** What was known when a list was asked for. */
interface ListRequest {
  askedAt: Instant;
  askedEpoch: number;
  /** The lease had surely expired, so that all ends in the list came before the expiry. */
  closesExpiry: boolean;
}

const HOLD_WAIT_MS = 900;
/** While tasks that serve and tasks that fill run side by side, readings are looked at more often. */
const PACING_WAIT_MS = 300;
/** The VM answers at once while it lists ends, so it is asked at this pace until they are settled. */
const UNSETTLED_PAUSE_MS = 40;
const UNSETTLED_PAUSE_MAXIMUM_MS = 200;
const FAILURE_PAUSE_MS = 150;

export class VmSession {
  readonly runs = new RunTable();

  /** Vanished runs that have not been reported. */
  vanished: RunReference[] = [];

  settledThrough = 0;

  /** The epoch under which the last list was made; 0 before the first list. */
  listedEpoch = 0;

  announcement: VmAnnouncement;

  private readonly vmClock: VmClock;

  private readonly pacer: FillPacer;

  private readonly lapses: LapseDetector;

  readonly lease: VmLease;

  private stopped = false;

  private wakeUp = new AbortController();

  private pauseMs = UNSETTLED_PAUSE_MS;

  private readonly outage = new Outage();

  constructor(private readonly options: VmSessionOptions) {
    this.announcement = options.announcement;
    this.vmClock = new VmClock(options.clock);
    this.lease = new VmLease(this.vmClock);
    this.pacer = new FillPacer(options.host, options.events, options.clock);
    this.lapses = new LapseDetector(options.clock, options.inheritedLeaseUntil);
  }

  get pressureAllowance(): number | null {
    return this.pacer.allowance;
  }

  /** The VM's clock now, at least; null before its first answer. */
  earliestVmMs(): number | null {
    return this.vmClock.earliest();
  }

  settle(sequence: number): void {
    if (sequence > this.settledThrough) {
      this.settledThrough = sequence;
      this.wake();
    }
  }

  /** True when the VM has ended or started anew. */
  get isOver(): boolean {
    return this.stopped;
  }

  /** Makes the next look at the VM happen at once, if none is on its way. */
  wake(): void {
    this.wakeUp.abort();
  }

  stop(): void {
    this.stopped = true;
    this.wake();
  }

  async run(): Promise<void> {
    while (!this.stopped) {
      try {
        await this.look();
      } catch (error) {
        this.noteFailure(toError(error));
        await sleep(FAILURE_PAUSE_MS);
      }
    }
  }

  /** Makes a list for a new scheduler, beside the call that may wait for an end. */
  relist(): void {
    this.hold(0).catch((error: unknown) => this.noteFailure(toError(error)));
  }

  /** Asks the VM once, without waiting for an end. The list closes an expiry of the lease that is known. */
  async lookNow(): Promise<void> {
    await this.hold(0);
  }

  private async look(): Promise<void> {
    const waitMs = this.pacer.isNeeded(this.runs) ? PACING_WAIT_MS : HOLD_WAIT_MS;
    const hadUnsettled = this.runs.unsettled.some(({ sequence }) => sequence > this.settledThrough);
    const fresh = await this.hold(hadUnsettled || this.listedEpoch === 0 ? 0 : waitMs);
    const { unsettled } = this.runs;
    if (unsettled.some(({ sequence }) => sequence > this.settledThrough)) {
      this.pauseMs = fresh
        ? UNSETTLED_PAUSE_MS
        : Math.min(UNSETTLED_PAUSE_MAXIMUM_MS, this.pauseMs * 1.5);
      await this.pause(this.pauseMs);
    }
  }

  private async pause(milliseconds: number): Promise<void> {
    this.wakeUp = new AbortController();
    await sleep(milliseconds, this.wakeUp.signal);
  }

  /** Returns true when the list held new ends. */
  private async hold(waitMs: number): Promise<boolean> {
    const { host, clock, announcement, epoch } = this.options;
    const askedAt = clock.now();
    const askedEpoch = epoch();
    const closesExpiry = this.lease.isExpired;
    const result = await host.hold({
      instanceId: announcement.instanceId,
      epoch: askedEpoch,
      leaseUntilVmMs: this.lease.untilVmMs,
      settledThrough: this.settledThrough,
      waitMs,
    });
    if (result === HoldRefusal.Fenced || result === HoldRefusal.OtherInstance) {
      await this.handleRefusal(result, askedEpoch);
      return false;
    }
    this.outage.end(() =>
      this.options.events.write('vm-regained', { instance: announcement.instanceId }),
    );
    const verdict = this.lapses.judge(result);
    return (
      verdict.isCertain && this.applyList(result, verdict, { askedAt, askedEpoch, closesExpiry })
    );
  }

  private applyList(
    result: HoldResult,
    { voidThrough }: LapseVerdict,
    { askedAt, askedEpoch, closesExpiry }: ListRequest,
  ): boolean {
    const { clock, announcement, epoch } = this.options;
    if (result.bornWallMs !== announcement.bornWallMs) {
      return false;
    }
    this.vmClock.observe(result.vmClockMs);
    const now = clock.now();
    const { ended, vanished } = this.runs.apply(result.running, result.ended, askedAt, now);
    this.vanished.push(...vanished);
    this.voidEnds(Math.max(voidThrough, closesExpiry ? lastEnd(result) : 0));
    if (closesExpiry) {
      this.lease.closeExpiry();
    }
    const isFirst = this.listedEpoch !== askedEpoch;
    this.listedEpoch = Math.max(this.listedEpoch, askedEpoch);
    this.pacer.adjust(this.runs, { instanceId: announcement.instanceId, epoch: epoch() });
    if (ended.length > 0 || vanished.length > 0 || isFirst) {
      this.options.onChange();
    }
    return ended.length > 0;
  }

  private voidEnds(through: number): void {
    if (through > this.settledThrough) {
      const discarded = this.runs.discardEnds(through);
      this.vanished.push(...discarded);
      this.settledThrough = through;
      const { instanceId } = this.announcement;
      this.options.events.write('ends-void', { instance: instanceId, through, discarded });
    }
  }

  private async handleRefusal(refusal: HoldRefusal, askedEpoch: number): Promise<void> {
    const fields = { instance: this.announcement.instanceId, refusal, epoch: askedEpoch };
    this.options.events.write('hold-refused', fields);
    this.options.onChange();
    await this.pause(FAILURE_PAUSE_MS);
  }

  private noteFailure(error: Error): void {
    const { instanceId } = this.announcement;
    const { events } = this.options;
    this.outage.begin(() =>
      events.write('vm-lost', { instance: instanceId, error: error.message }),
    );
  }
}
