/**
 * Switches, limits and counters of the fake platform. The HTTP server and the in-memory services share
 * them.
 */
import { SystemClock } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';

export interface PlatformFaults {
  /** Every call is refused without effect. */
  outage: boolean;
  /** As `outage`, for calls to the object store only. */
  objectOutage: boolean;
  /** Every call waits this long before it takes effect. */
  slowMs: number;
  /** The answers of this many further writes are lost after they took effect. */
  loseAnswers: number;
  /** Only answers of transactions that write a row with this prefix are lost; null for all writes. */
  loseAnswersOfPrefix: string | null;
  transactionsPerSecond: number;
  readsPerSecond: number;
}

export interface PlatformStats {
  transactions: number;
  rowsWritten: number;
  reads: number;
  rowsRead: number;
  conflicts: number;
  throttled: number;
  refusedInOutage: number;
  /** Those of `refusedInOutage` that were calls to the object store. */
  objectsRefused: number;
  lostAnswers: number;
  objectsWritten: number;
  objectsRead: number;
  /** Bytes of the bodies that answer reads and scans; counted by the HTTP server only. */
  tableBytesRead: number;
  objectBytesRead: number;
  /** Rows written, by the part of the key before the first slash. */
  rowsWrittenByPrefix: Record<string, number>;
}

const DEFAULT_TRANSACTIONS_PER_SECOND = 400;
const DEFAULT_READS_PER_SECOND = 2_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Calls that may come at once, as a fraction of the calls in a second. */
const BURST_FRACTION = 0.25;

export function createPlatformFaults(overrides: Partial<PlatformFaults> = {}): PlatformFaults {
  return {
    outage: false,
    objectOutage: false,
    slowMs: 0,
    loseAnswers: 0,
    loseAnswersOfPrefix: null,
    transactionsPerSecond: DEFAULT_TRANSACTIONS_PER_SECOND,
    readsPerSecond: DEFAULT_READS_PER_SECOND,
    ...overrides,
  };
}

export function createPlatformStats(): PlatformStats {
  return {
    transactions: 0,
    rowsWritten: 0,
    reads: 0,
    rowsRead: 0,
    conflicts: 0,
    throttled: 0,
    refusedInOutage: 0,
    objectsRefused: 0,
    lostAnswers: 0,
    objectsWritten: 0,
    objectsRead: 0,
    tableBytesRead: 0,
    objectBytesRead: 0,
    rowsWrittenByPrefix: {},
  };
}

/** Limits calls to a rate that may change between calls. */
export class RateLimit {
  private tokens: number;

  private refilledAt: Instant;

  private lastRate: number;

  constructor(
    private readonly perSecond: () => number,
    private readonly clock: Clock = new SystemClock(),
  ) {
    this.lastRate = perSecond();
    this.tokens = burstOf(this.lastRate);
    this.refilledAt = clock.now();
  }

  /** Takes one token; false when the rate is exceeded. */
  take(): boolean {
    this.refill();
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }

  private refill(): void {
    const now = this.clock.now();
    const rate = this.perSecond();
    const gained = ((now - this.refilledAt) / MILLISECONDS_PER_SECOND) * rate;
    this.tokens =
      rate === this.lastRate ? Math.min(burstOf(rate), this.tokens + gained) : burstOf(rate);
    this.lastRate = rate;
    this.refilledAt = now;
  }
}

function burstOf(rate: number): number {
  return Math.min(rate, Math.max(1, rate * BURST_FRACTION));
}
