/**
 * An open-loop load generator: requests are sent at their intended times whatever became of earlier ones,
 * and latency counts from the intended time, so that a stall is not hidden.
 */
import { sleep } from '@figjunction/time';
import type { RandomSource } from '@figjunction/time';
import { Latency } from './latency.js';

export interface LoadOptions {
  ratePerSecond: number;
  durationMs: number;
  random: RandomSource;
  /** Sends one request and tells how it ended. */
  send(index: number): Promise<RequestEnding>;
  /** Requests in progress at most; one over it counts as not sent. */
  inProgressMaximum?: number;
}

/** How a request ended; the latency of completed ones is recorded. */
export enum RequestEnding {
  Completed = 'completed',
  NotRun = 'not-run',
  Unknown = 'unknown',
  /** The target itself answered with an error. */
  TargetFailed = 'target-failed',
  /** The answer was not the one to this request. */
  WrongAnswer = 'wrong-answer',
  NoAnswer = 'no-answer',
  /** The generator itself had too many in progress. */
  NotSent = 'not-sent',
}

export interface LoadResult {
  latency: Latency;
  endings: Record<RequestEnding, number>;
  offered: number;
  /** The largest delay of a send after its intended time. */
  sendDelayMaximumMs: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_IN_PROGRESS_MAXIMUM = 2_000;

/** Arrivals due within this time are sent at once, because timers are no finer. */
const TIMER_RESOLUTION_MS = 1;

export async function generateLoad(options: LoadOptions): Promise<LoadResult> {
  const { send, inProgressMaximum = DEFAULT_IN_PROGRESS_MAXIMUM } = options;
  const result = createResult();
  const inProgress = new Set<Promise<void>>();
  const startedAt = performance.now();
  let index = 0;
  for (const offsetMs of arrivals(options)) {
    const intendedAt = startedAt + offsetMs;
    const waitMs = intendedAt - performance.now();
    if (waitMs > TIMER_RESOLUTION_MS) {
      await sleep(waitMs);
    }
    result.offered += 1;
    const delayMs = performance.now() - intendedAt;
    result.sendDelayMaximumMs = Math.max(result.sendDelayMaximumMs, delayMs);
    if (inProgress.size >= inProgressMaximum) {
      result.endings[RequestEnding.NotSent] += 1;
    } else {
      const number = index;
      const sent = sendOne(() => send(number), intendedAt, result).finally(() => {
        inProgress.delete(sent);
      });
      inProgress.add(sent);
    }
    index += 1;
  }
  await Promise.all(inProgress);
  return result;
}

/** Offsets of a Poisson process, in milliseconds. */
function* arrivals({ ratePerSecond, durationMs, random }: LoadOptions): Generator<number> {
  const meanGapMs = MILLISECONDS_PER_SECOND / ratePerSecond;
  let offsetMs = 0;
  for (;;) {
    offsetMs -= Math.log(1 - random.fraction()) * meanGapMs;
    if (offsetMs > durationMs) {
      return;
    }
    yield offsetMs;
  }
}

async function sendOne(
  send: () => Promise<RequestEnding>,
  intendedAt: number,
  result: LoadResult,
): Promise<void> {
  let ending = RequestEnding.NoAnswer;
  try {
    ending = await send();
  } catch {
    // No complete answer arrived; that is what NoAnswer says.
  }
  result.endings[ending] += 1;
  if (ending === RequestEnding.Completed) {
    result.latency.record(performance.now() - intendedAt);
  }
}

function createResult(): LoadResult {
  const endings = Object.fromEntries(Object.values(RequestEnding).map((ending) => [ending, 0]));
  return {
    latency: new Latency(),
    endings: endings as Record<RequestEnding, number>,
    offered: 0,
    sendDelayMaximumMs: 0,
  };
}
