/**
 * Delays the next start of a task that failed before, longer with every failure. The delay counts on this
 * entry's clock from when it first saw the row pending after the failure.
 */
import type { Instant } from '@figjunction/time';
import type { TaskEntry } from './task-table.js';

const FIRST_DELAY_MS = 500;
const LAST_DELAY_MS = 60_000;
const DELAYS_MAXIMUM = 50_000;

interface Delay {
  failures: number;
  dueAt: Instant;
}

export class PendingDelays {
  private readonly delays = new Map<string, Delay>();

  isDue({ key, value }: TaskEntry, now: Instant): boolean {
    if (value.failures === 0) {
      return true;
    }
    let delay = this.delays.get(key);
    if (delay?.failures !== value.failures) {
      const length = Math.min(FIRST_DELAY_MS * 2 ** (value.failures - 1), LAST_DELAY_MS);
      delay = { failures: value.failures, dueAt: now + length };
      this.add(key, delay);
    }
    return now >= delay.dueAt;
  }

  /** Bounded: the oldest delays make room; their tasks wait once more. */
  private add(key: string, delay: Delay): void {
    this.delays.delete(key);
    this.delays.set(key, delay);
    if (this.delays.size > DELAYS_MAXIMUM) {
      const [oldest] = this.delays.keys();
      this.delays.delete(oldest ?? key);
    }
  }
}
