/**
 * Pauses between the polls of a VM. Pauses grow while the VM lists the same unacknowledged ends, because it then
 * responds without waiting.
 */
import { sleep } from '@figjunction/time';

const UNACKNOWLEDGED_PAUSE_MS = 40;
const UNACKNOWLEDGED_PAUSE_MAXIMUM_MS = 200;
const PAUSE_GROWTH = 1.5;

export class PollPause {
  private wakeUp = new AbortController();

  private unacknowledgedPauseMs = UNACKNOWLEDGED_PAUSE_MS;

  /** Ends the current pause. */
  wake(): void {
    this.wakeUp.abort();
  }

  async wait(milliseconds: number): Promise<void> {
    this.wakeUp = new AbortController();
    await sleep(milliseconds, this.wakeUp.signal);
  }

  /** Waits until the scheduler may have acknowledged the listed ends. */
  async waitForAcknowledgement(hasNewEnds: boolean): Promise<void> {
    this.unacknowledgedPauseMs = hasNewEnds
      ? UNACKNOWLEDGED_PAUSE_MS
      : Math.min(UNACKNOWLEDGED_PAUSE_MAXIMUM_MS, this.unacknowledgedPauseMs * PAUSE_GROWTH);
    await this.wait(this.unacknowledgedPauseMs);
  }
}
