/**
 * Statistics of the instances and services that this entry sends requests to: latency, load and health.
 */
import {
  LatencyWindow,
  RetryBudget,
  createInstanceHealth,
  ejectOutliers,
  recordAttempt,
} from '@figjunction/decisions';
import type { Ejection, InstanceHealth } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { ServiceName, TaskId } from '@figjunction/types';
import type { RequestResult } from './interactive-request.js';

/** Weight of the newest latency in the moving average of an instance. */
const LATENCY_SMOOTHING_FACTOR = 0.2;

/**
 * A measured latency halves after this time without a new measurement. Without the decay, an instance that
 * was slow once is never the better of two candidates while others are idle, so it is never measured again.
 */
const LATENCY_HALF_LIFE_MS = 2_000;

/** Maximum age of the slot count that an agent reported. Requests are shorter than a heartbeat interval. */
const SLOT_REPORT_VALIDITY_MS = 100;

const RESPONSE_TIMEOUT_FACTOR = 2;
const RESPONSE_TIMEOUT_MS_MINIMUM = 250;
const RESPONSE_TIMEOUT_MS_MAXIMUM = 2_000;

/** HTTP statuses from this one upwards count as failures of the instance. */
const SERVER_ERROR_STATUS = 500;

/** Percentiles of fewer latencies than this are not meaningful. */
const HEDGE_SAMPLES_MINIMUM = 32;

/** Statistics of one instance. Load values are numbers of attempts. */
export interface InstanceStats {
  health: InstanceHealth;
  service: ServiceName;
  /** Attempts of this entry in progress. */
  outstanding: number;
  /** Moving average; null before the first completed attempt. */
  latencyMs: number | null;
  latencyMeasuredAt: Instant;
  reportedSlotsUsed: number;
  reportedAt: Instant;
}

/** Statistics of all instances of one service. */
class ServiceStats {
  readonly latencies = new LatencyWindow();

  readonly budget = new RetryBudget();

  private sampleCount = 0;

  record(latencyMs: number): void {
    this.sampleCount += 1;
    this.latencies.record(latencyMs);
  }

  /** Time without a response after which the agent gets an inquiry: twice the recent p99, within bounds. */
  getResponseTimeoutMs(): number {
    const timeoutMs = (this.latencies.percentile(99) ?? 0) * RESPONSE_TIMEOUT_FACTOR;
    return Math.min(RESPONSE_TIMEOUT_MS_MAXIMUM, Math.max(RESPONSE_TIMEOUT_MS_MINIMUM, timeoutMs));
  }

  /** Delay before a second attempt may start (p95); null while there are too few latencies. */
  getHedgeDelayMs(): number | null {
    return this.sampleCount < HEDGE_SAMPLES_MINIMUM ? null : this.latencies.percentile(95);
  }
}

export class InstanceStatsTable {
  private readonly rows = new Map<TaskId, InstanceStats>();

  private readonly services = new Map<ServiceName, ServiceStats>();

  constructor(private readonly clock: Clock) {}

  getOrCreate(taskId: TaskId, service: ServiceName): InstanceStats {
    let row = this.rows.get(taskId);
    if (row === undefined) {
      row = {
        health: createInstanceHealth(taskId),
        service,
        outstanding: 0,
        latencyMs: null,
        latencyMeasuredAt: Number.NEGATIVE_INFINITY,
        reportedSlotsUsed: 0,
        reportedAt: Number.NEGATIVE_INFINITY,
      };
      this.rows.set(taskId, row);
    }
    return row;
  }

  getServiceStats(service: ServiceName): ServiceStats {
    let stats = this.services.get(service);
    if (stats === undefined) {
      stats = new ServiceStats();
      this.services.set(service, stats);
    }
    return stats;
  }

  /** Attempts on the instance: those of this entry, or the agent's recent report if that is higher. */
  getLoad(row: InstanceStats): number {
    const isFresh = this.clock.now() - row.reportedAt < SLOT_REPORT_VALIDITY_MS;
    return isFresh ? Math.max(row.outstanding, row.reportedSlotsUsed) : row.outstanding;
  }

  /** Average latency, decayed by its age; null before the first completed attempt. */
  getDecayedLatencyMs({ latencyMs, latencyMeasuredAt }: InstanceStats): number | null {
    if (latencyMs === null) {
      return null;
    }
    return latencyMs * 0.5 ** ((this.clock.now() - latencyMeasuredAt) / LATENCY_HALF_LIFE_MS);
  }

  recordResult(
    row: InstanceStats,
    result: RequestResult & { slotsUsed?: number },
    latencyMs: number,
  ): void {
    const now = this.clock.now();
    if (result.slotsUsed !== undefined) {
      row.reportedSlotsUsed = result.slotsUsed;
      row.reportedAt = now;
    }
    if (result.outcome === RequestOutcome.Completed) {
      const average = row.latencyMs ?? latencyMs;
      row.latencyMs = average + LATENCY_SMOOTHING_FACTOR * (latencyMs - average);
      row.latencyMeasuredAt = now;
      this.getServiceStats(row.service).record(latencyMs);
    }
    if (isHealthSignal(result)) {
      recordAttempt(row.health, isFailure(result), now);
    }
  }

  /** Ejects the outliers among the instances of a service. */
  ejectOutliers(taskIds: TaskId[], service: ServiceName): Ejection[] {
    const rows = taskIds.map((taskId) => this.getOrCreate(taskId, service).health);
    return ejectOutliers(rows, this.clock.now());
  }

  /** Deletes instances that are not in `taskIds` and have no attempt in progress. */
  deleteMissing(taskIds: Set<TaskId>): void {
    for (const [taskId, row] of this.rows) {
      if (!taskIds.has(taskId) && row.outstanding === 0) {
        this.rows.delete(taskId);
      }
    }
  }
}

/** Whether a result reflects the health of the instance. A refusal only reflects its load. */
function isHealthSignal(result: RequestResult): boolean {
  return (
    result.outcome !== RequestOutcome.NotRun ||
    result.code === OutcomeCode.TargetFailed ||
    result.code === OutcomeCode.ConnectionLost
  );
}

function isFailure(result: RequestResult): boolean {
  return result.outcome !== RequestOutcome.Completed || (result.status ?? 0) >= SERVER_ERROR_STATUS;
}
