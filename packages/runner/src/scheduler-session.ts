/**
 * The session of a runner with the scheduler. The scheduler offers a session; the next report opens it with a
 * list that was requested from the VM since. An offer is named once, so that only one report can open it.
 */
import type { Clock, Instant } from '@figjunction/time';
import type { ReportResult } from '@figjunction/types';

const NONE = 0;

export class SchedulerSession {
  /** Number of the open session; 0 for none. */
  current = NONE;

  /** Changes whenever the session is dropped, so that a response to an earlier report can be told. */
  generation = 0;

  private offered = NONE;

  /** When the longest grant of the open session expires, on this process's clock. */
  private grantedUntil: Instant = 0;

  constructor(private readonly clock: Clock) {}

  get isOpen(): boolean {
    return this.current !== NONE;
  }

  get hasOffer(): boolean {
    return this.offered !== NONE;
  }

  /** Drops the session and any offer of one. */
  drop(): void {
    this.current = NONE;
    this.offered = NONE;
    this.grantedUntil = 0;
    this.generation += 1;
  }

  /** Returns the offered session for the next report; 0 for none. */
  takeOffer(): number {
    const { offered } = this;
    this.offered = NONE;
    return offered;
  }

  /** Applies the response to a report that was sent at `sentAt`. */
  apply({ session, offeredSession, grantMs }: ReportResult, sentAt: Instant): void {
    this.current = session;
    this.offered = offeredSession;
    if (session !== NONE) {
      this.grantedUntil = Math.max(this.grantedUntil, sentAt + grantMs);
    }
  }

  /** True if this is the current session and its grant has not expired. */
  accepts(session: number): boolean {
    return this.isOpen && session === this.current && this.clock.now() < this.grantedUntil;
  }
}
