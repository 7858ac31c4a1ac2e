/**
 * Switches of the fake worker.
 */
export interface InterferencePair {
  kind: string;
  service: string;
  /** Slowdown of the service per VM's worth of processors that the kind uses. */
  coefficient: number;
}

export interface WorkerFaults {
  /** Every batch task fails soon after its start, and every request gets status 500. */
  failEverything: boolean;
  /** Speed of batch tasks and targets, 1 is normal. */
  speed: number;
  /** Every call of the worker's interface waits this long. */
  callDelayMs: number;
  /** Added to the service time of every request. */
  targetDelayMs: number;
  /** The answers of this many further requests never arrive. */
  hangAnswers: number;
  /** The answers of this many further requests end before their announced length. */
  truncateAnswers: number;
  /** This many further answers are sent twice on their connection. */
  duplicateAnswers: number;
  usageLagMs: number;
  /** Median service time of targets. */
  serviceMedianMs: number;
  /** Standard deviation of the logarithm of the service time. */
  serviceSpread: number;
  /** Coefficient of pairs that are not listed. */
  defaultInterference: number;
  interference: InterferencePair[];
}

const DEFAULT_USAGE_LAG_MS = 2_000;
const DEFAULT_SERVICE_MEDIAN_MS = 5;
const DEFAULT_SERVICE_SPREAD = 0.3;
const DEFAULT_INTERFERENCE = 0.5;

export function createWorkerFaults(overrides: Partial<WorkerFaults> = {}): WorkerFaults {
  return {
    failEverything: false,
    speed: 1,
    callDelayMs: 0,
    targetDelayMs: 0,
    hangAnswers: 0,
    truncateAnswers: 0,
    duplicateAnswers: 0,
    usageLagMs: DEFAULT_USAGE_LAG_MS,
    serviceMedianMs: DEFAULT_SERVICE_MEDIAN_MS,
    serviceSpread: DEFAULT_SERVICE_SPREAD,
    defaultInterference: DEFAULT_INTERFERENCE,
    interference: [],
    ...overrides,
  };
}
