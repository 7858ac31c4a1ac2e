/**
 * What this entry learnt of the instances and services it sends to.
 */
import {
  LatencyWindow,
  RetryBudget,
  createHealth,
  ejectOutliers,
  recordAttempt,
} from '@figjunction/decisions';
import type { Ejection, InstanceHealth } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { ServiceName, TaskId } from '@figjunction/types';
import type { RequestEnd } from './interactive-request.js';

/** Weight of the newest latency in the moving average of an instance. */
const LATENCY_GAIN = 0.2;

/**
 * A remembered latency halves in this time without an answer. Without it, an instance that was slow once
 * is never the better of two choices while others are idle, so it is never measured again.
 */
const LATENCY_HALF_LIFE_MS = 2_000;

/** An agent's word on its slots is old after this long: requests are shorter than a heartbeat interval. */
const REPORT_FRESH_MS = 100;

const SILENCE_FACTOR = 2;
const SILENCE_MS_MINIMUM = 250;
const SILENCE_MS_MAXIMUM = 2_000;

/** Statuses from here on count as failures of the instance. */
const SERVER_ERROR_STATUS = 500;

/** Fewer answers than this say nothing about percentiles. */
const HEDGE_ANSWERS_MINIMUM = 32;

export interface InstanceStats {
  health: InstanceHealth;
  service: ServiceName;
  outstanding: number;
  latencyMs: number | null;
  answeredAt: Instant;
  reportedSlotsUsed: number;
  reportedAt: Instant;
}

class ServiceStats {
  readonly latencies = new LatencyWindow();

  readonly budget = new RetryBudget();

  private answers = 0;

  record(latencyMs: number): void {
    this.answers += 1;
    this.latencies.record(latencyMs);
  }

  /** Twice the recent p99, within bounds. */
  silenceBoundMs(): number {
    const bound = (this.latencies.percentile(99) ?? 0) * SILENCE_FACTOR;
    return Math.min(SILENCE_MS_MAXIMUM, Math.max(SILENCE_MS_MINIMUM, bound));
  }

  /** When a second attempt may start; null while there are too few answers. */
  hedgeAfterMs(): number | null {
    return this.answers < HEDGE_ANSWERS_MINIMUM ? null : this.latencies.percentile(95);
  }
}

export class InstanceStatsTable {
  private readonly rows = new Map<TaskId, InstanceStats>();

  private readonly services = new Map<ServiceName, ServiceStats>();

  constructor(private readonly clock: Clock) {}

  of(taskId: TaskId, service: ServiceName): InstanceStats {
    let row = this.rows.get(taskId);
    if (row === undefined) {
      row = {
        health: createHealth(taskId),
        service,
        outstanding: 0,
        latencyMs: null,
        answeredAt: Number.NEGATIVE_INFINITY,
        reportedSlotsUsed: 0,
        reportedAt: Number.NEGATIVE_INFINITY,
      };
      this.rows.set(taskId, row);
    }
    return row;
  }

  service(service: ServiceName): ServiceStats {
    let stats = this.services.get(service);
    if (stats === undefined) {
      stats = new ServiceStats();
      this.services.set(service, stats);
    }
    return stats;
  }

  /** Attempts on the instance: this entry's, or more when its agent said so a moment ago. */
  load(row: InstanceStats): number {
    const isFresh = this.clock.now() - row.reportedAt < REPORT_FRESH_MS;
    return isFresh ? Math.max(row.outstanding, row.reportedSlotsUsed) : row.outstanding;
  }

  /** Recent latency, which counts for less the older it is; null before the first answer. */
  recentLatencyMs({ latencyMs, answeredAt }: InstanceStats): number | null {
    if (latencyMs === null) {
      return null;
    }
    return latencyMs * 0.5 ** ((this.clock.now() - answeredAt) / LATENCY_HALF_LIFE_MS);
  }

  recordEnd(row: InstanceStats, end: RequestEnd & { slotsUsed?: number }, latencyMs: number): void {
    const now = this.clock.now();
    if (end.slotsUsed !== undefined) {
      row.reportedSlotsUsed = end.slotsUsed;
      row.reportedAt = now;
    }
    if (end.outcome === RequestOutcome.Completed) {
      const average = row.latencyMs ?? latencyMs;
      row.latencyMs = average + LATENCY_GAIN * (latencyMs - average);
      row.answeredAt = now;
      this.service(row.service).record(latencyMs);
    }
    if (saysSomethingOfTheInstance(end)) {
      recordAttempt(row.health, isFailure(end), now);
    }
  }

  /** Ejects the outliers of a service. */
  eject(taskIds: TaskId[], service: ServiceName): Ejection[] {
    const rows = taskIds.map((taskId) => this.of(taskId, service).health);
    return ejectOutliers(rows, this.clock.now());
  }

  /** Forgets instances that are gone and have nothing outstanding. */
  retain(taskIds: Set<TaskId>): void {
    for (const [taskId, row] of this.rows) {
      if (!taskIds.has(taskId) && row.outstanding === 0) {
        this.rows.delete(taskId);
      }
    }
  }
}

/** A refusal tells how busy an instance is, not whether it works. */
function saysSomethingOfTheInstance(end: RequestEnd): boolean {
  return (
    end.outcome !== RequestOutcome.NotRun ||
    end.code === OutcomeCode.TargetFailed ||
    end.code === OutcomeCode.ConnectionLost
  );
}

function isFailure(end: RequestEnd): boolean {
  return end.outcome !== RequestOutcome.Completed || (end.status ?? 0) >= SERVER_ERROR_STATUS;
}
