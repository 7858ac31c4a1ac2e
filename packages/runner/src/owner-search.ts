/**
 * Looks the scheduler up in the store after one has failed, and takes the cell over if the policy allows it.
 */
import { toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import type { OwnerDirectory, OwnerView } from '@figjunction/scheduler';
import type { Clock } from '@figjunction/time';
import { TakeoverPolicy } from './takeover-policy.js';
import type { SchedulerFailure } from './takeover-policy.js';

export interface OwnerSearchOptions {
  clock: Clock;
  events: EventLog;
  directory: OwnerDirectory;
  address: string;
  processId: string;
  /** Takes the cell over; the reason is logged. */
  takeOver: (view: OwnerView, reason: string) => Promise<void>;
  /** Called after a take-over was tried, when a report may find a scheduler at once. */
  onSearched: () => void;
}

/** Delay until the next report, which finds out whether there is a scheduler now. */
export const OWNER_RETRY_DELAY_MS = 120;

export class OwnerSearch {
  private readonly takeoverPolicy: TakeoverPolicy;

  constructor(private readonly options: OwnerSearchOptions) {
    this.takeoverPolicy = new TakeoverPolicy(options);
  }

  /** Like `search`, but logs errors of the store. */
  async trySearch(failure: SchedulerFailure, requestedEpoch: number | null): Promise<number> {
    try {
      return await this.search(failure, requestedEpoch);
    } catch (error) {
      const fields = { silence: failure, error: toError(error).message };
      this.options.events.write('owner-unknown', fields);
      return OWNER_RETRY_DELAY_MS;
    }
  }

  /**
   * Reads the owner from the store and takes the cell over if the policy allows it. `requestedEpoch` is the
   * epoch of the scheduler that failed; another scheduler may have announced itself since.
   * Returns the delay until the next report, in milliseconds. Rejects on store errors.
   */
  async search(failure: SchedulerFailure, requestedEpoch: number | null): Promise<number> {
    const { directory, clock, takeOver, onSearched } = this.options;
    const view = await directory.refresh();
    if (
      view !== null &&
      this.takeoverPolicy.mayTakeOver(view, failure, requestedEpoch, clock.now())
    ) {
      await takeOver(view, failure);
      onSearched();
    }
    return OWNER_RETRY_DELAY_MS;
  }
}
