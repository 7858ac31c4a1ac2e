/**
 * The part of the configuration that this agent has in force. It never goes back to an older revision.
 */
import type { Instant } from '@figjunction/time';
import type { AgentSlice, ConfigurationRevision } from '@figjunction/types';

/** Without a confirmation for this long, the agent starts no task. */
const CONFIRMATION_BOUND_MS = 6_000;

export class SliceHolder {
  private inForce: AgentSlice | null = null;

  private confirmedUntil: Instant = Number.NEGATIVE_INFINITY;

  current(): AgentSlice | null {
    return this.inForce;
  }

  revision(): ConfigurationRevision {
    return this.inForce?.revision ?? 0;
  }

  accept(candidate: AgentSlice): boolean {
    if (candidate.revision <= this.revision()) {
      return false;
    }
    this.inForce = candidate;
    return true;
  }

  /**
   * Notes that an entry with the same revision answered a call sent at `sentAt`, and for how long the entry
   * itself may still act under it. Counting from the sending never exceeds the bound of the entry.
   */
  confirm(sentAt: Instant, confirmedForMs: number): void {
    const confirmedUntil = sentAt + Math.min(confirmedForMs, CONFIRMATION_BOUND_MS);
    this.confirmedUntil = Math.max(this.confirmedUntil, confirmedUntil);
  }

  isConfirmed(now: Instant): boolean {
    return this.inForce !== null && now < this.confirmedUntil;
  }
}
