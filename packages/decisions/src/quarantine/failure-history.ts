/**
 * Recent ends of tasks by worker and by kind, and what follows from them. A worker that fails fast frees
 * its room at once and would attract more work, so already its first failures limit its starts.
 */
import type { Instant } from '@figjunction/time';
import type { AgentId, KindName } from '@figjunction/types';

export interface QuarantineOptions {
  recentStarts?: number;
  failingKindsMinimum?: number;
  firstProbeMs?: number;
  lastProbeMs?: number;
  firstBackoffMs?: number;
  lastBackoffMs?: number;
  heldKindWorkersMinimum?: number;
  heldKindAttempts?: number;
}

/** How many starts a worker may be given now. */
export interface StartAllowance {
  starts: number;
  reason: string | null;
  /** The worker is quarantined and the allowed start is a probe. */
  quarantined: boolean;
}

interface TaskEnd {
  kind: KindName;
  failed: boolean;
}

interface WorkerHistory {
  recent: TaskEnd[];
  /** Kinds that failed since the last success, with the number of failures. */
  failuresByKind: Map<KindName, { failures: number; retryAt: Instant }>;
  /** Failures since the last success. */
  failures: number;
  lastFailureAt: Instant;
  nextStartAt: Instant;
  quarantined: boolean;
  probeMs: number;
}

interface KindHistory {
  failuresSinceSuccess: number;
  failedWorkers: Set<AgentId>;
}

const DEFAULTS: Required<QuarantineOptions> = {
  recentStarts: 10,
  failingKindsMinimum: 3,
  firstProbeMs: 30_000,
  lastProbeMs: 600_000,
  firstBackoffMs: 1_000,
  lastBackoffMs: 30_000,
  heldKindWorkersMinimum: 3,
  heldKindAttempts: 6,
};
/** Failures of a single kind may be the kind's fault; of two kinds in a row they are the worker's. */
const SUSPECT_KINDS_MINIMUM = 2;

export class FailureHistory {
  private readonly workers = new Map<AgentId, WorkerHistory>();

  private readonly kinds = new Map<KindName, KindHistory>();

  private readonly options: Required<QuarantineOptions>;

  constructor(options: QuarantineOptions = {}) {
    this.options = { ...DEFAULTS, ...options };
  }

  recordSuccess(agentId: AgentId, kind: KindName): void {
    const worker = this.workerHistory(agentId);
    this.addRecent(worker, { kind, failed: false });
    worker.failuresByKind.delete(kind);
    worker.failures = 0;
    worker.nextStartAt = Number.NEGATIVE_INFINITY;
    worker.quarantined = false;
    worker.probeMs = this.options.firstProbeMs;
    this.kinds.delete(kind);
  }

  /** Returns whether the worker became quarantined by this failure. */
  recordFailure(agentId: AgentId, kind: KindName, now: Instant): boolean {
    const worker = this.workerHistory(agentId);
    this.addRecent(worker, { kind, failed: true });
    worker.failures += 1;
    worker.lastFailureAt = now;
    this.delayKind(worker, kind, now);
    this.delayWorker(worker, now);
    const history = this.kindHistory(kind);
    history.failuresSinceSuccess += 1;
    history.failedWorkers.add(agentId);
    if (worker.quarantined || !this.isFailing(worker)) {
      return false;
    }
    worker.quarantined = true;
    return true;
  }

  /** Notes that a start was sent, so that a limited worker gets the next one only after its delay. */
  recordStart(agentId: AgentId, kind: KindName, now: Instant): void {
    const worker = this.workers.get(agentId);
    if (worker === undefined) {
      return;
    }
    const delayed = worker.failuresByKind.get(kind);
    if (delayed !== undefined) {
      delayed.retryAt = now + this.backoff(delayed.failures);
    }
    if (worker.quarantined) {
      worker.nextStartAt = now + worker.probeMs;
      worker.probeMs = Math.min(worker.probeMs * 2, this.options.lastProbeMs);
    } else if (this.isSuspect(worker)) {
      worker.nextStartAt = now + this.backoff(worker.failures);
    }
  }

  allowance(agentId: AgentId, now: Instant): StartAllowance {
    const worker = this.workers.get(agentId);
    if (worker === undefined || !this.isLimited(worker, now)) {
      return { starts: Number.POSITIVE_INFINITY, reason: null, quarantined: false };
    }
    const { quarantined } = worker;
    const starts = now >= worker.nextStartAt ? 1 : 0;
    const reason = quarantined
      ? 'it is quarantined because many kinds fail on it'
      : 'its last starts failed';
    return { starts, reason, quarantined };
  }

  /** Starts allowed now for each kind that failed on a worker since the last success of the kind there. */
  kindStarts(agentId: AgentId, now: Instant): Map<KindName, number> {
    const worker = this.workers.get(agentId);
    if (worker === undefined || this.isForgiven(worker, now)) {
      return new Map();
    }
    return new Map(
      [...worker.failuresByKind].map(([kind, { retryAt }]) => [kind, now < retryAt ? 0 : 1]),
    );
  }

  /** Whether a kind fails on so many workers that it is held back. */
  isKindFailing(kind: KindName): boolean {
    const history = this.kinds.get(kind);
    return (
      history !== undefined &&
      history.failedWorkers.size >= this.options.heldKindWorkersMinimum &&
      history.failuresSinceSuccess >= this.options.heldKindAttempts
    );
  }

  /** Forgets a kind's failures, for when a new revision changes the kind. */
  forgetKind(kind: KindName): void {
    this.kinds.delete(kind);
    for (const worker of this.workers.values()) {
      worker.failuresByKind.delete(kind);
    }
  }

  quarantinedWorkers(): AgentId[] {
    return [...this.workers].filter(([, { quarantined }]) => quarantined).map(([id]) => id);
  }

  forgetWorker(agentId: AgentId): void {
    this.workers.delete(agentId);
  }

  private addRecent(worker: WorkerHistory, end: TaskEnd): void {
    worker.recent.push(end);
    if (worker.recent.length > this.options.recentStarts) {
      worker.recent.shift();
    }
  }

  private delayKind(worker: WorkerHistory, kind: KindName, now: Instant): void {
    const failures = (worker.failuresByKind.get(kind)?.failures ?? 0) + 1;
    worker.failuresByKind.set(kind, { failures, retryAt: now + this.backoff(failures) });
  }

  private delayWorker(worker: WorkerHistory, now: Instant): void {
    const delay = worker.quarantined ? worker.probeMs : this.backoff(worker.failures);
    worker.nextStartAt = Math.max(worker.nextStartAt, now + delay);
  }

  private isLimited(worker: WorkerHistory, now: Instant): boolean {
    return worker.quarantined || (this.isSuspect(worker) && !this.isForgiven(worker, now));
  }

  /** Long tasks succeed late; a worker without a new failure for long is not suspected until then. */
  private isForgiven(worker: WorkerHistory, now: Instant): boolean {
    return !worker.quarantined && now - worker.lastFailureAt > this.options.lastProbeMs;
  }

  private isSuspect(worker: WorkerHistory): boolean {
    return worker.failures > 0 && worker.failuresByKind.size >= SUSPECT_KINDS_MINIMUM;
  }

  private isFailing(worker: WorkerHistory): boolean {
    const failed = worker.recent.filter((end) => end.failed);
    const kinds = new Set(failed.map((end) => end.kind));
    // With fewer ends than the window, the missing ones count as successes.
    return (
      kinds.size >= this.options.failingKindsMinimum &&
      failed.length > this.options.recentStarts / 2
    );
  }

  private backoff(failures: number): number {
    const { firstBackoffMs, lastBackoffMs } = this.options;
    return Math.min(firstBackoffMs * 2 ** (failures - 1), lastBackoffMs);
  }

  private workerHistory(agentId: AgentId): WorkerHistory {
    let worker = this.workers.get(agentId);
    if (worker === undefined) {
      worker = {
        recent: [],
        failuresByKind: new Map(),
        failures: 0,
        lastFailureAt: Number.NEGATIVE_INFINITY,
        nextStartAt: Number.NEGATIVE_INFINITY,
        quarantined: false,
        probeMs: this.options.firstProbeMs,
      };
      this.workers.set(agentId, worker);
    }
    return worker;
  }

  private kindHistory(kind: KindName): KindHistory {
    let history = this.kinds.get(kind);
    if (history === undefined) {
      history = { failuresSinceSuccess: 0, failedWorkers: new Set() };
      this.kinds.set(kind, history);
    }
    return history;
  }
}
