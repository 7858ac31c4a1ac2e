/**
 * Joins an attempt that is overdue with another one, without giving it up: it may be slow, or never get an answer.
 */
import { toError } from '@figjunction/errors';

export interface HedgedCallOptions<Result> {
  /** Makes the attempt with this number, counted from 0. It has to end by itself, or when it is aborted. */
  attempt: (number: number, signal: AbortSignal) => Promise<Result>;
  /** How long the attempt with this number may take before another joins it, in milliseconds. */
  overdueAfterMs: (number: number) => number;
}

/**
 * Returns the first result and aborts the attempts that are still in progress. Rejects with the error of an attempt
 * that fails while no other is in progress.
 */
export function hedgeCall<Result>(options: HedgedCallOptions<Result>): Promise<Result> {
  const { attempt, overdueAfterMs } = options;
  const ending = new AbortController();
  return new Promise((resolve, reject) => {
    let inProgress = 0;
    let nextAttempt: NodeJS.Timeout;
    const finish = (): void => {
      clearTimeout(nextAttempt);
      ending.abort();
    };
    const start = (number: number): void => {
      inProgress += 1;
      nextAttempt = setTimeout(() => start(number + 1), overdueAfterMs(number));
      attempt(number, ending.signal).then(
        (result) => {
          finish();
          resolve(result);
        },
        (error: unknown) => {
          inProgress -= 1;
          if (inProgress === 0) {
            finish();
            reject(toError(error));
          }
        },
      );
    };
    start(0);
  });
}
