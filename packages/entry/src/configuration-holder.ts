/**
 * The configuration that this process has in force. It never goes back to an older revision.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import type { Instant } from '@figjunction/time';
import type { ConfigurationRevision } from '@figjunction/types';

/** Without a confirmation for this long, a process makes no new placements. */
export const CONFIRMATION_BOUND_MS = 6_000;

export interface ConfigurationInForce {
  revision: ConfigurationRevision;
  bodyHash: string;
  /** The text as the operator applied it. */
  body: string;
  configuration: OperatorConfiguration;
}

export class ConfigurationHolder {
  private inForce: ConfigurationInForce | null = null;

  private confirmedUntil: Instant = Number.NEGATIVE_INFINITY;

  private readonly listeners: ((inForce: ConfigurationInForce) => void)[] = [];

  current(): ConfigurationInForce | null {
    return this.inForce;
  }

  revision(): ConfigurationRevision {
    return this.inForce?.revision ?? 0;
  }

  /** Takes a newer revision; an older or equal one changes nothing. Returns whether it was taken. */
  accept(candidate: ConfigurationInForce): boolean {
    if (candidate.revision <= this.revision()) {
      return false;
    }
    this.inForce = candidate;
    for (const listener of this.listeners) {
      listener(candidate);
    }
    return true;
  }

  onChange(listener: (inForce: ConfigurationInForce) => void): void {
    this.listeners.push(listener);
  }

  /** Notes that the table was read at `readStartedAt` and showed the revision in force. */
  confirm(readStartedAt: Instant): void {
    this.confirmedUntil = readStartedAt + CONFIRMATION_BOUND_MS;
  }

  /** Whether new placements may be made under the revision in force. */
  isConfirmed(now: Instant): boolean {
    return this.confirmedForMs(now) > 0;
  }

  /** For how long new placements may still be made without another confirmation. */
  confirmedForMs(now: Instant): number {
    return this.inForce === null ? 0 : Math.max(0, this.confirmedUntil - now);
  }
}
