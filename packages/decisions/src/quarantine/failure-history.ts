/**
 * Recent task outcomes per worker and kind, and the resulting start limits. A worker on which tasks fail
 * quickly frees its capacity at once and would attract more tasks, so limits apply from the first failures.
 */
import type { Instant } from '@figjunction/time';
import type { AgentId, KindName } from '@figjunction/types';

export interface QuarantineOptions {
  /** Number of recent outcomes per worker that decide on its quarantine. */
  outcomeWindowSize?: number;
  /** Different kinds that must fail within the window before a worker is quarantined. */
  quarantineKindsMinimum?: number;
  /** Delay before the first probe of a quarantined worker; doubles with each probe. */
  firstProbeDelayMs?: number;
  probeDelayMsMaximum?: number;
  firstBackoffMs?: number;
  backoffMsMaximum?: number;
  /** A kind is held once it failed on this many workers, and this many times, without a success. */
  kindHoldWorkersMinimum?: number;
  kindHoldFailuresMinimum?: number;
}

/** Number of tasks that may start on a worker now; infinite, without a reason, if it is not limited. */
export interface StartAllowance {
  starts: number;
  reason: string | null;
  /** Whether the worker is quarantined, so that an allowed start is a probe. */
  isQuarantined: boolean;
}

interface TaskOutcome {
  kind: KindName;
  failed: boolean;
}

interface WorkerHistory {
  recentOutcomes: TaskOutcome[];
  /** Failures of each kind on the worker since the last success of the kind there. */
  failuresByKind: Map<KindName, { failures: number; retryAt: Instant }>;
  /** Failures of any kind since the last success of any kind. */
  failures: number;
  lastFailureAt: Instant;
  nextStartAt: Instant;
  isQuarantined: boolean;
  probeDelayMs: number;
}

interface KindHistory {
  failuresSinceSuccess: number;
  failedWorkers: Set<AgentId>;
}

const DEFAULT_OPTIONS: Required<QuarantineOptions> = {
  outcomeWindowSize: 10,
  quarantineKindsMinimum: 3,
  firstProbeDelayMs: 30_000,
  probeDelayMsMaximum: 600_000,
  firstBackoffMs: 1_000,
  backoffMsMaximum: 30_000,
  kindHoldWorkersMinimum: 3,
  kindHoldFailuresMinimum: 6,
};
/** Failures of one kind may be caused by the kind; failures of two kinds in a row point to the worker. */
const SUSPECT_KINDS_MINIMUM = 2;

/** Records task outcomes and decides on start limits, quarantine of workers and holds of kinds. */
export class FailureHistory {
  private readonly workers = new Map<AgentId, WorkerHistory>();

  private readonly kinds = new Map<KindName, KindHistory>();

  private readonly options: Required<QuarantineOptions>;

  constructor(options: QuarantineOptions = {}) {
    this.options = { ...DEFAULT_OPTIONS, ...options };
  }

  recordSuccess(agentId: AgentId, kind: KindName): void {
    const worker = this.getOrCreateWorker(agentId);
    this.addOutcome(worker, { kind, failed: false });
    worker.failuresByKind.delete(kind);
    worker.failures = 0;
    worker.nextStartAt = Number.NEGATIVE_INFINITY;
    worker.isQuarantined = false;
    worker.probeDelayMs = this.options.firstProbeDelayMs;
    this.kinds.delete(kind);
  }

  /** Returns whether this failure put the worker into quarantine. */
  recordFailure(agentId: AgentId, kind: KindName, now: Instant): boolean {
    const worker = this.getOrCreateWorker(agentId);
    this.addOutcome(worker, { kind, failed: true });
    worker.failures += 1;
    worker.lastFailureAt = now;
    this.backOffKind(worker, kind, now);
    this.backOffWorker(worker, now);
    const history = this.getOrCreateKind(kind);
    history.failuresSinceSuccess += 1;
    history.failedWorkers.add(agentId);
    if (worker.isQuarantined || !this.shouldQuarantine(worker)) {
      return false;
    }
    worker.isQuarantined = true;
    return true;
  }

  /** Records a start; a limited worker gets its next start only after the backoff or probe delay. */
  recordStart(agentId: AgentId, kind: KindName, now: Instant): void {
    const worker = this.workers.get(agentId);
    if (worker === undefined) {
      return;
    }
    const backoff = worker.failuresByKind.get(kind);
    if (backoff !== undefined) {
      backoff.retryAt = now + this.computeBackoffMs(backoff.failures);
    }
    if (worker.isQuarantined) {
      worker.nextStartAt = now + worker.probeDelayMs;
      worker.probeDelayMs = Math.min(worker.probeDelayMs * 2, this.options.probeDelayMsMaximum);
    } else if (this.isSuspect(worker)) {
      worker.nextStartAt = now + this.computeBackoffMs(worker.failures);
    }
  }

  /** Returns one start at a time for a limited worker, and no limit for others. */
  getStartAllowance(agentId: AgentId, now: Instant): StartAllowance {
    const worker = this.workers.get(agentId);
    if (worker === undefined || !this.isLimited(worker, now)) {
      return { starts: Number.POSITIVE_INFINITY, reason: null, isQuarantined: false };
    }
    const { isQuarantined } = worker;
    const starts = now >= worker.nextStartAt ? 1 : 0;
    const reason = isQuarantined
      ? 'it is quarantined because tasks of several kinds failed on it'
      : 'recent tasks of more than one kind failed on it';
    return { starts, reason, isQuarantined };
  }

  /** Returns the starts allowed now for each kind that failed on the worker since its last success there. */
  getStartsAllowedByKind(agentId: AgentId, now: Instant): Map<KindName, number> {
    const worker = this.workers.get(agentId);
    if (worker === undefined || this.isStable(worker, now)) {
      return new Map();
    }
    return new Map(
      [...worker.failuresByKind].map(([kind, { retryAt }]) => [kind, now < retryAt ? 0 : 1]),
    );
  }

  /** Whether the kind failed often enough, on enough workers, for its tasks to be held. */
  isKindFailing(kind: KindName): boolean {
    const history = this.kinds.get(kind);
    return (
      history !== undefined &&
      history.failedWorkers.size >= this.options.kindHoldWorkersMinimum &&
      history.failuresSinceSuccess >= this.options.kindHoldFailuresMinimum
    );
  }

  /** Clears the failures of a kind, for example after a configuration change of the kind. */
  clearKindFailures(kind: KindName): void {
    this.kinds.delete(kind);
    for (const worker of this.workers.values()) {
      worker.failuresByKind.delete(kind);
    }
  }

  listQuarantinedWorkers(): AgentId[] {
    return [...this.workers].filter(([, { isQuarantined }]) => isQuarantined).map(([id]) => id);
  }

  removeWorker(agentId: AgentId): void {
    this.workers.delete(agentId);
  }

  private addOutcome(worker: WorkerHistory, outcome: TaskOutcome): void {
    worker.recentOutcomes.push(outcome);
    if (worker.recentOutcomes.length > this.options.outcomeWindowSize) {
      worker.recentOutcomes.shift();
    }
  }

  private backOffKind(worker: WorkerHistory, kind: KindName, now: Instant): void {
    const failures = (worker.failuresByKind.get(kind)?.failures ?? 0) + 1;
    worker.failuresByKind.set(kind, { failures, retryAt: now + this.computeBackoffMs(failures) });
  }

  private backOffWorker(worker: WorkerHistory, now: Instant): void {
    const delay = worker.isQuarantined
      ? worker.probeDelayMs
      : this.computeBackoffMs(worker.failures);
    worker.nextStartAt = Math.max(worker.nextStartAt, now + delay);
  }

  private isLimited(worker: WorkerHistory, now: Instant): boolean {
    return worker.isQuarantined || (this.isSuspect(worker) && !this.isStable(worker, now));
  }

  /** Long tasks take long to succeed, so limits also end after a period without a new failure. */
  private isStable(worker: WorkerHistory, now: Instant): boolean {
    return !worker.isQuarantined && now - worker.lastFailureAt > this.options.probeDelayMsMaximum;
  }

  private isSuspect(worker: WorkerHistory): boolean {
    return worker.failures > 0 && worker.failuresByKind.size >= SUSPECT_KINDS_MINIMUM;
  }

  private shouldQuarantine(worker: WorkerHistory): boolean {
    const failed = worker.recentOutcomes.filter((outcome) => outcome.failed);
    const kinds = new Set(failed.map((outcome) => outcome.kind));
    // If the window is not full, missing outcomes count as successes.
    return (
      kinds.size >= this.options.quarantineKindsMinimum &&
      failed.length > this.options.outcomeWindowSize / 2
    );
  }

  private computeBackoffMs(failures: number): number {
    const { firstBackoffMs, backoffMsMaximum } = this.options;
    return Math.min(firstBackoffMs * 2 ** (failures - 1), backoffMsMaximum);
  }

  private getOrCreateWorker(agentId: AgentId): WorkerHistory {
    let worker = this.workers.get(agentId);
    if (worker === undefined) {
      worker = {
        recentOutcomes: [],
        failuresByKind: new Map(),
        failures: 0,
        lastFailureAt: Number.NEGATIVE_INFINITY,
        nextStartAt: Number.NEGATIVE_INFINITY,
        isQuarantined: false,
        probeDelayMs: this.options.firstProbeDelayMs,
      };
      this.workers.set(agentId, worker);
    }
    return worker;
  }

  private getOrCreateKind(kind: KindName): KindHistory {
    let history = this.kinds.get(kind);
    if (history === undefined) {
      history = { failuresSinceSuccess: 0, failedWorkers: new Set() };
      this.kinds.set(kind, history);
    }
    return history;
  }
}
