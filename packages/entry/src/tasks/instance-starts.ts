/**
 * When this entry started the current attempt of each instance. An instance that ran well for long and
 * then fails starts again without the delay that its earlier failures had earned.
 */
import type { Instant } from '@figjunction/time';

const RAN_WELL_MS = 60_000;

interface Start {
  attempt: number;
  at: Instant;
}

export class InstanceStarts {
  private readonly starts = new Map<string, Start>();

  note(key: string, attempt: number, at: Instant): void {
    this.starts.set(key, { attempt, at });
  }

  /** True also for an attempt that another entry started: that was before the shard changed hands. */
  ranWell(key: string, attempt: number, now: Instant): boolean {
    const start = this.starts.get(key);
    return start?.attempt !== attempt || now - start.at >= RAN_WELL_MS;
  }
}
