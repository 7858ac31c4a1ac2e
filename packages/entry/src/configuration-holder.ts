/**
 * The configuration that this process currently uses. It never reverts to an older revision.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import type { Instant } from '@figjunction/time';
import type { ConfigurationRevision } from '@figjunction/types';

/** A process makes no new placements if its revision was not confirmed for this long. */
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

  /** Adopts a newer revision and ignores an older or equal one. Returns whether it was adopted. */
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

  /** Records that a table read started at `readStartedAt` returned the current revision. */
  confirm(readStartedAt: Instant): void {
    this.confirmedUntil = readStartedAt + CONFIRMATION_BOUND_MS;
  }

  /** Whether new placements are allowed under the current revision. */
  isConfirmed(now: Instant): boolean {
    return this.confirmedForMs(now) > 0;
  }

  /** Remaining time in milliseconds for new placements without another confirmation. */
  confirmedForMs(now: Instant): number {
    return this.inForce === null ? 0 : Math.max(0, this.confirmedUntil - now);
  }
}
