/**
 * Tells whether the cancellations that this scheduler knows are recent enough for it to start tasks. The store may
 * take the cancellations of the gateways, and the renewals of the lease, while it leaves the scheduler's watch
 * without a response.
 */
import { Outage } from '@figjunction/logger';
import type { Instant } from '@figjunction/time';
import type { CellContext } from './cell-context.js';

/** A poll of the watch that gets no response fails by then. */
const MAXIMUM_AGE_MS = 2_400;
/** No run may start later than this after the last answer: a cancellation has to take effect within 3 s. */
const START_BOUND_MS = 2_800;

export class CancellationFreshness {
  private confirmedAt: Instant = Number.NEGATIVE_INFINITY;

  private readonly outage = new Outage();

  constructor(private readonly context: Pick<CellContext, 'events'>) {}

  /** Records that this scheduler knows all cancellations that the store had until then. */
  confirm(until: Instant): void {
    this.confirmedAt = Math.max(this.confirmedAt, until);
  }

  /** How long a start that is ordered now may wait for its call, in milliseconds; 0 once the bound has passed. */
  startsValidMs(now: Instant): number {
    return Math.max(0, Math.floor(this.confirmedAt + START_BOUND_MS - now));
  }

  isRecent(now: Instant): boolean {
    const { events } = this.context;
    const ageMs = now - this.confirmedAt;
    if (ageMs <= MAXIMUM_AGE_MS) {
      this.outage.end(() => events.write('starts-resumed', {}));
      return true;
    }
    // Before the first response, which comes soon after a take-over, there is no age.
    if (Number.isFinite(ageMs)) {
      this.outage.begin(() => events.write('starts-held', { ageMs: Math.round(ageMs) }));
    }
    return false;
  }
}
