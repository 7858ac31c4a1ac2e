/**
 * Decides which heartbeats of a VM are newer than those received before. A heartbeat that was delayed may arrive
 * after later ones, also of a later incarnation of the VM, and must not replace them. One with a start time or a
 * sequence number that is too high, from another writer, must not shut out the true VM for good; nor must one that
 * describes the VM wrongly.
 */
import type { Clock, Instant } from '@figjunction/time';

export interface HeartbeatStamp {
  /** Start of the incarnation of the VM. */
  bornWallMs: number;
  sequence: number;
}

export enum HeartbeatVerdict {
  Newer = 'newer',
  Overtaken = 'overtaken',
  /** Overtaken, but the last of a series that shows that the reference was wrong. */
  Reinstated = 'reinstated',
}

/**
 * A VM sends one every second or two. A delayed series arrives faster than it was sent, and beside the heartbeats of
 * the incarnation that overtook it.
 */
const REINSTATING_HEARTBEATS = 4;
const REINSTATING_MS = 4_000;

interface OvertakenSeries {
  last: HeartbeatStamp;
  count: number;
  startedAt: Instant;
}

export class HeartbeatOrder {
  private newest: HeartbeatStamp = { bornWallMs: 0, sequence: 0 };

  /** Heartbeats in rising order since the last one that was newer. */
  private overtaken: OvertakenSeries | null = null;

  constructor(private readonly clock: Pick<Clock, 'now'>) {}

  /** Compares later heartbeats with this one. */
  restart(stamp: HeartbeatStamp): void {
    this.accept(stamp);
  }

  /**
   * Judges a heartbeat that has arrived now; unless it is overtaken, later ones are compared with it. One that is not
   * consistent with the reference counts as overtaken, until a series of them shows that the reference was wrong.
   */
  judge(stamp: HeartbeatStamp, isConsistent = true): HeartbeatVerdict {
    if (isConsistent && isAfter(stamp, this.newest)) {
      this.accept(stamp);
      return HeartbeatVerdict.Newer;
    }
    if (this.endsLongSeries(stamp)) {
      this.accept(stamp);
      return HeartbeatVerdict.Reinstated;
    }
    return HeartbeatVerdict.Overtaken;
  }

  private accept(stamp: HeartbeatStamp): void {
    this.newest = stamp;
    this.overtaken = null;
  }

  private endsLongSeries(stamp: HeartbeatStamp): boolean {
    const now = this.clock.now();
    const { overtaken } = this;
    if (overtaken === null || !isAfter(stamp, overtaken.last)) {
      this.overtaken = { last: stamp, count: 1, startedAt: now };
      return false;
    }
    overtaken.last = stamp;
    overtaken.count += 1;
    return overtaken.count >= REINSTATING_HEARTBEATS && now - overtaken.startedAt >= REINSTATING_MS;
  }
}

function isAfter(stamp: HeartbeatStamp, reference: HeartbeatStamp): boolean {
  return (
    stamp.bornWallMs > reference.bornWallMs ||
    (stamp.bornWallMs === reference.bornWallMs && stamp.sequence > reference.sequence)
  );
}
