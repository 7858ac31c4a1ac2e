/**
 * Decides which heartbeats are of the VM beside this runner. Another writer may send heartbeats too, and some of the
 * VM arrive late. One that names another incarnation than the current one counts only if the VM itself answers as that
 * incarnation; one that names the current one counts if it is newer than the last and describes the same VM.
 */
import { isDeepStrictEqual } from 'node:util';
import type { EventLog } from '@figjunction/logger';
import type { Clock } from '@figjunction/time';
import type { VmAnnouncement } from '@figjunction/types';
import { HeartbeatOrder, HeartbeatVerdict } from './heartbeat-order.js';
import { IncarnationCheck, IncarnationVerdict } from './incarnation-check.js';
import type { Runner } from './runner.js';
import type { VmHost } from './vm-host.js';

export interface Heartbeat {
  announcement: VmAnnouncement;
  /** Where the VM accepts calls, as it says itself. */
  address: string;
  /** Rises with each heartbeat of an incarnation. */
  sequence: number;
}

export interface HeartbeatReceiverOptions {
  runner: Pick<Runner, 'announcement' | 'epoch' | 'handleAnnouncement' | 'handleDeregistration'>;
  host: Pick<VmHost, 'hold'>;
  events: Pick<EventLog, 'write'>;
  clock: Pick<Clock, 'now'>;
}

export class HeartbeatReceiver {
  private readonly order: HeartbeatOrder;

  private readonly check: IncarnationCheck;

  /** The last heartbeat that was accepted. */
  private accepted: Heartbeat | null = null;

  /** Number of accepted heartbeats that named another incarnation than the one before. */
  private changeCount = 0;

  constructor(private readonly options: HeartbeatReceiverOptions) {
    const { runner, host, clock } = options;
    this.order = new HeartbeatOrder(clock);
    this.check = new IncarnationCheck({ host, epoch: () => runner.epoch });
  }

  async receive(heartbeat: Heartbeat): Promise<void> {
    const current = this.options.runner.announcement;
    if (current !== null && isSameIncarnation(current, heartbeat.announcement)) {
      this.receiveFromCurrent(heartbeat);
      return;
    }
    if (this.isOvertakenByDeparture(heartbeat)) {
      this.options.events.write('heartbeat-overtaken', fieldsOf(heartbeat));
      return;
    }
    const { changeCount } = this;
    const verdict = await this.check.confirm(heartbeat.announcement);
    // If the incarnation has changed meanwhile, the verdict may be out of date. The next heartbeat is checked again.
    if (changeCount === this.changeCount) {
      this.receiveFromOther(heartbeat, verdict);
    }
  }

  /** A VM can start again under its instance id, so a late deregistration may be of an earlier incarnation. */
  receiveDeregistration(instanceId: string, bornWallMs: number | null): void {
    const { runner, events } = this.options;
    if (bornWallMs !== null && bornWallMs < (runner.announcement?.bornWallMs ?? 0)) {
      events.write('deregistration-overtaken', { instance: instanceId, born: bornWallMs });
      return;
    }
    runner.handleDeregistration(instanceId);
  }

  /** True for a late heartbeat of an incarnation that has left; for some time it may answer calls. */
  private isOvertakenByDeparture({ announcement, sequence }: Heartbeat): boolean {
    const { accepted } = this;
    return (
      accepted !== null &&
      isSameIncarnation(accepted.announcement, announcement) &&
      sequence <= accepted.sequence
    );
  }

  private receiveFromCurrent(heartbeat: Heartbeat): void {
    const isConsistent = this.accepted === null || describesSameVm(this.accepted, heartbeat);
    const { events } = this.options;
    const verdict = this.order.judge(stampOf(heartbeat), isConsistent);
    if (verdict === HeartbeatVerdict.Overtaken) {
      events.write(
        isConsistent ? 'heartbeat-overtaken' : 'heartbeat-inconsistent',
        fieldsOf(heartbeat),
      );
      return;
    }
    if (verdict === HeartbeatVerdict.Reinstated) {
      events.write('heartbeat-reinstated', fieldsOf(heartbeat));
    }
    this.accept(heartbeat);
  }

  private receiveFromOther(heartbeat: Heartbeat, verdict: IncarnationVerdict): void {
    const { runner, events } = this.options;
    if (verdict === IncarnationVerdict.Refuted) {
      events.write('heartbeat-refuted', fieldsOf(heartbeat));
    } else if (verdict === IncarnationVerdict.Confirmed) {
      this.order.restart(stampOf(heartbeat));
      this.changeIncarnation(heartbeat);
    } else if (runner.announcement !== null) {
      events.write('heartbeat-unconfirmed', fieldsOf(heartbeat));
    } else if (this.order.judge(stampOf(heartbeat)) === HeartbeatVerdict.Overtaken) {
      events.write('heartbeat-overtaken', fieldsOf(heartbeat));
    } else {
      this.changeIncarnation(heartbeat);
    }
  }

  private changeIncarnation(heartbeat: Heartbeat): void {
    const { runner } = this.options;
    const { bornWallMs } = heartbeat.announcement;
    const current = runner.announcement;
    if (current !== null && current.bornWallMs >= bornWallMs) {
      // The VM has refuted the current incarnation, and the runner itself only moves on to later ones.
      runner.handleDeregistration(current.instanceId);
    }
    this.changeCount += 1;
    this.accept(heartbeat);
  }

  private accept(heartbeat: Heartbeat): void {
    this.accepted = heartbeat;
    this.options.runner.handleAnnouncement(heartbeat.announcement);
  }
}

/** What a log line tells of a heartbeat. */
function fieldsOf({ announcement, address, sequence }: Heartbeat) {
  const { instanceId, bornWallMs, service } = announcement;
  return { instance: instanceId, born: bornWallMs, service, address, sequence };
}

function stampOf({ announcement, sequence }: Heartbeat) {
  return { bornWallMs: announcement.bornWallMs, sequence };
}

function isSameIncarnation(left: VmAnnouncement, right: VmAnnouncement): boolean {
  return left.instanceId === right.instanceId && left.bornWallMs === right.bornWallMs;
}

/** Compares what stays the same as long as an incarnation lives. */
function describesSameVm(left: Heartbeat, right: Heartbeat): boolean {
  return isDeepStrictEqual(fixedFieldsOf(left), fixedFieldsOf(right));
}

function fixedFieldsOf({ announcement, address }: Heartbeat) {
  const { service, dataCentre, labels } = announcement;
  return { service, dataCentre, labels: [...labels].sort(), address };
}
