/**
 * The slice of the configuration that is active on this agent. An older revision never replaces a newer one.
 */
import type { Instant } from '@figjunction/time';
import type { AgentSlice, ConfigurationRevision } from '@figjunction/types';

/** A confirmation is valid for at most this long; without a valid one, the agent starts no task. */
const CONFIRMATION_VALIDITY_MAXIMUM_MS = 6_000;

export class ActiveConfiguration {
  private active: AgentSlice | null = null;

  private confirmedUntil: Instant = Number.NEGATIVE_INFINITY;

  current(): AgentSlice | null {
    return this.active;
  }

  revision(): ConfigurationRevision {
    return this.active?.revision ?? 0;
  }

  /** Activates the candidate if its revision is newer; returns whether it did. */
  accept(candidate: AgentSlice): boolean {
    if (candidate.revision <= this.revision()) {
      return false;
    }
    this.active = candidate;
    return true;
  }

  /**
   * Extends the confirmation after an entry with the same revision responded to a call sent at `sentAt`.
   * `confirmedForMs` is how long the entry itself may still act under the revision. The time counts from when
   * the call was sent, so the agent's confirmation never ends after the entry's.
   */
  confirm(sentAt: Instant, confirmedForMs: number): void {
    const confirmedUntil = sentAt + Math.min(confirmedForMs, CONFIRMATION_VALIDITY_MAXIMUM_MS);
    this.confirmedUntil = Math.max(this.confirmedUntil, confirmedUntil);
  }

  isConfirmed(now: Instant): boolean {
    return this.active !== null && now < this.confirmedUntil;
  }
}
