/**
 * Decides whether a request may be answered from this gateway's copy of the configuration. A newer configuration may
 * have to be in force already when the copy has not been confirmed by the store for a while.
 */
import type { ConfigurationFollower } from '@figjunction/scheduler';
import type { StoreHealth } from '@figjunction/store';

export enum RequestKind {
  SubmitJob = 'submit-job',
  ReadJob = 'read-job',
  CancelJob = 'cancel-job',
  CountPending = 'count-pending',
  /** For no queue of the copy. */
  UnknownQueue = 'unknown-queue',
}

export interface ConfigurationGateOptions {
  follower: Pick<ConfigurationFollower, 'isRecent' | 'waitUntilRecent'>;
  storeHealth: Pick<StoreHealth, 'isUnavailable'>;
}

/** Time for two attempts of the follower to reach the store. */
const CONFIRMATION_TIMEOUT_MS = 600;

export class ConfigurationGate {
  constructor(private readonly options: ConfigurationGateOptions) {}

  /**
   * Tells whether the copy is recent. If not, waits shortly for an answer of the store, unless the store is known to be
   * unavailable.
   */
  async confirm(): Promise<boolean> {
    const { follower, storeHealth } = this.options;
    if (follower.isRecent) {
      return true;
    }
    return !storeHealth.isUnavailable() && follower.waitUntilRecent(CONFIRMATION_TIMEOUT_MS);
  }

  /**
   * Whether a request may be answered from a copy that is not recent. A job is the same whatever has become of its
   * queue; what is said of a queue is not, nor that there is none.
   */
  mayAnswerUnconfirmed(kind: RequestKind): boolean {
    return kind === RequestKind.ReadJob || kind === RequestKind.CancelJob;
  }
}
