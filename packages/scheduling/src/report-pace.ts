/**
 * Decides how often the runners of a cell report. Answers the load of hundreds of runners, each with several
 * ends a second: an end that waits for its report delays the next step of its job, while the lists of all runs
 * are the larger part of the scheduler's work and can wait.
 */

export interface ReportPace {
  /** Minimum time between two reports of one runner, in milliseconds. */
  pauseMs: number;
  /** Time between two lists of runs of one runner, in milliseconds. */
  listIntervalMs: number;
}

/** Limits the lists of all runners together to about 170 a second. */
const LIST_INTERVAL_MS_PER_RUNNER = 6;
const LIST_INTERVAL_MINIMUM_MS = 500;
/** Well below the lease of a VM, which every report extends. */
const LIST_INTERVAL_MAXIMUM_MS = 2_000;
/** Pause for each runner while the scheduler has time to spare, and while it has none. */
const IDLE_PAUSE_MS_PER_RUNNER = 0.5;
const BUSY_PAUSE_MS_PER_RUNNER = 3;
/** Share of its time that the scheduler works, from which on the pause grows, and at which it is longest. */
const IDLE_UTILIZATION = 0.5;
const BUSY_UTILIZATION = 0.9;

/** `utilization` is the share of its time that the scheduler's process works, 0 to 1. */
export function computeReportPace(runnerCount: number, utilization: number): ReportPace {
  const busyShare = Math.min(
    1,
    Math.max(0, (utilization - IDLE_UTILIZATION) / (BUSY_UTILIZATION - IDLE_UTILIZATION)),
  );
  const pausePerRunnerMs =
    IDLE_PAUSE_MS_PER_RUNNER + busyShare * (BUSY_PAUSE_MS_PER_RUNNER - IDLE_PAUSE_MS_PER_RUNNER);
  const listIntervalMs = Math.min(
    LIST_INTERVAL_MAXIMUM_MS,
    Math.max(LIST_INTERVAL_MINIMUM_MS, LIST_INTERVAL_MS_PER_RUNNER * runnerCount),
  );
  return { pauseMs: Math.round(pausePerRunnerMs * runnerCount), listIntervalMs };
}
