/**
 * Waiting on conditions instead of sleeping.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import { SystemClock, hasPassed, sleep } from '@figjunction/time';

export class HarnessError extends FigjunctionError {}

export interface WaitOptions {
  timeoutMs?: number;
  intervalMs?: number;
  /** Completes the sentence "timed out waiting until ...". */
  what?: string;
}

const DEFAULT_TIMEOUT_MS = 20_000;
const DEFAULT_INTERVAL_MS = 25;

/**
 * Waits until the condition holds or gives a value other than null, undefined and false, and returns it.
 * An error of the condition counts as "not yet".
 */
export async function waitUntil<Result>(
  condition: () => Promise<Result> | Result,
  options: WaitOptions = {},
): Promise<NonNullable<Result>> {
  const { timeoutMs = DEFAULT_TIMEOUT_MS, intervalMs = DEFAULT_INTERVAL_MS, what } = options;
  const clock = new SystemClock();
  const deadline = clock.now() + timeoutMs;
  let lastError: Error | undefined;
  do {
    try {
      const result = await condition();
      if (result !== null && result !== undefined && result !== false) {
        return result;
      }
    } catch (error) {
      lastError = error as Error;
    }
    await sleep(intervalMs);
  } while (!hasPassed(clock, deadline));
  throw new HarnessError(`timed out waiting until ${what ?? 'a condition holds'}`, {
    code: ErrorCode.TimedOut,
    cause: lastError,
  });
}
