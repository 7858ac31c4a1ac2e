/**
 * Limits how often heartbeats carry new counts of used slots and connections, which change with every
 * request. Entries route by their own outstanding attempts and by the used slots that each response states.
 * Only the status page shows the counts of heartbeats, so they may be up to 5 s old. Every other change is
 * announced at once.
 */
import type { Instant } from '@figjunction/time';
import type { InstanceReport } from '@figjunction/types';

/** Maximum age of the announced counts. */
export const COUNTS_INTERVAL_MS = 5_000;

export class InstanceChangeFilter {
  private announced: InstanceReport[] = [];

  private announcedAt: Instant = Number.NEGATIVE_INFINITY;

  /** Returns the instances to announce: those announced last if only counts changed within the interval. */
  select(instances: InstanceReport[], now: Instant): InstanceReport[] {
    const isDue = now - this.announcedAt >= COUNTS_INTERVAL_MS;
    if (isDue || serializeWithoutCounts(instances) !== serializeWithoutCounts(this.announced)) {
      this.announced = instances;
      this.announcedAt = now;
    }
    return this.announced;
  }
}

function serializeWithoutCounts(instances: InstanceReport[]): string {
  return JSON.stringify(
    instances.map((instance) => ({ ...instance, slotsUsed: 0, connectionsUsed: 0 })),
  );
}
