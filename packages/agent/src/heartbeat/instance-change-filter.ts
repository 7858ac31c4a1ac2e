/**
 * Keeps the counts of used slots and connections, which change with every request, out of most heartbeats.
 * Entries route by their own outstanding attempts and by the slots that each answer states; only the status
 * page shows these counts, which are therefore up to 5 s old. Everything else is announced at once.
 */
import type { Instant } from '@figjunction/time';
import type { InstanceReport } from '@figjunction/types';

/** How old the announced counts may be. */
export const COUNTS_INTERVAL_MS = 5_000;

export class SteadyInstances {
  private announced: InstanceReport[] = [];

  private countedAt: Instant = Number.NEGATIVE_INFINITY;

  /** What to announce now, given the present instances. */
  select(instances: InstanceReport[], now: Instant): InstanceReport[] {
    const isDue = now - this.countedAt >= COUNTS_INTERVAL_MS;
    if (isDue || identityOf(instances) !== identityOf(this.announced)) {
      this.announced = instances;
      this.countedAt = now;
    }
    return this.announced;
  }
}

function identityOf(instances: InstanceReport[]): string {
  return JSON.stringify(
    instances.map((instance) => ({ ...instance, slotsUsed: 0, connectionsUsed: 0 })),
  );
}
