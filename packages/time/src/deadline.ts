/**
 * Deadlines on one clock. A message between VMs carries the remaining milliseconds; the receiver makes
 * a deadline of its own from them.
 */
import type { Clock, Instant } from './clock.js';

export function deadlineAfter(clock: Clock, milliseconds: number): Instant {
  return clock.now() + milliseconds;
}

export function remainingMs(clock: Clock, deadline: Instant): number {
  return Math.max(0, deadline - clock.now());
}

export function hasPassed(clock: Clock, deadline: Instant): boolean {
  return clock.now() >= deadline;
}

/** Waits without keeping the process alive. */
export function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted) {
      resolve();
      return;
    }
    const timer = setTimeout(resolve, milliseconds);
    signal?.addEventListener('abort', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}
