/**
 * Runs one request: quota check, queue and attempts. A request is retried only if the last attempt provably
 * did not run, or if the request is idempotent and the retry budget permits it.
 */
import type { TeamConfiguration } from '@figjunction/config';
import { remainingMs, sleep } from '@figjunction/time';
import { DecisionKind, ExplainSubject, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { TaskId } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { AttemptRunner } from './attempt-runner.js';
import type { BeforeSend } from './attempt-runner.js';
import { recordDecision } from './decision-records.js';
import { InstanceStatsTable } from './instance-stats.js';
import { createNotRunResult, createUnknownResult } from './interactive-request.js';
import type { InteractiveRequest, RequestResult } from './interactive-request.js';
import { QuotaLimiter } from './quota-limiter.js';
import { RegionLink } from './region-link.js';
import { ServiceQueues } from './service-queues.js';
import { TargetSelector } from './target-selector.js';

/** Refusals after which another instance, or the same one later, may accept the request. */
const RETRYABLE_CODES = new Set([
  OutcomeCode.NoSlot,
  OutcomeCode.Draining,
  OutcomeCode.NoTarget,
  OutcomeCode.WrongIncarnation,
  OutcomeCode.AttemptCancelled,
  OutcomeCode.AttemptExpired,
  OutcomeCode.TargetFailed,
  OutcomeCode.ConnectionLost,
]);

/** An attempt with less time before its deadline times out more often than it completes. */
const ATTEMPT_MS_MINIMUM = 5;

const BACKOFF_MS_MINIMUM = 5;
const BACKOFF_MS_MAXIMUM = 100;

/** Number of retries without a delay. Later ones wait even if another instance may accept them. */
const IMMEDIATE_RETRIES = 2;

export class RequestRunner {
  readonly attemptRunner: AttemptRunner;

  readonly selector: TargetSelector;

  private readonly stats: InstanceStatsTable;

  private readonly queues: ServiceQueues;

  private readonly quotaLimiter: QuotaLimiter;

  constructor(
    private readonly context: EntryContext,
    readonly link = new RegionLink(context),
  ) {
    this.stats = new InstanceStatsTable(context.clock);
    this.selector = new TargetSelector(context, this.stats, link);
    this.attemptRunner = new AttemptRunner(context, this.stats, this.selector);
    this.queues = new ServiceQueues(context, this.stats);
    this.quotaLimiter = new QuotaLimiter(context);
  }

  /** Charges the request to its team's quota. Returns a result when the quota is exhausted. */
  admit(request: InteractiveRequest): RequestResult | null {
    const refusal = this.chargeQuota(request.team);
    return refusal === null ? null : this.recordRefusal(request, refusal);
  }

  /** Charges one request to the quota of a team. Returns a result when the quota is exhausted. */
  chargeQuota(team: TeamConfiguration): RequestResult | null {
    if (this.quotaLimiter.admit(team)) {
      return null;
    }
    const { name, requestsPerSecond } = team;
    const message = `team ${name} has exceeded its quota of ${requestsPerSecond} requests per second`;
    return createNotRunResult(OutcomeCode.QuotaExceeded, message);
  }

  /** Runs an admitted request. `beforeSend` may reject an attempt before it is sent. */
  async run(request: InteractiveRequest, beforeSend?: BeforeSend): Promise<RequestResult> {
    this.stats.getServiceStats(request.service.name).budget.recordRequest();
    const queue = this.queues.getOrCreate(request.service);
    const triedTaskIds = new Set<TaskId>();
    let mayHaveRun = false;
    for (let retries = 0; ; retries += 1) {
      if (request.disconnectSignal.aborted) {
        return applyEarlierAttempts(mayHaveRun, createDisconnectedResult());
      }
      if (this.getRemainingMs(request) < ATTEMPT_MS_MINIMUM) {
        return this.finish(request, createDeadlineTooShortResult(), mayHaveRun);
      }
      const slotCount = this.selector.countSlots(request.service.name);
      const result =
        slotCount === 0
          ? { ...createNoTargetResult(request), isFinal: true }
          : await queue.run(request, retries > 0, slotCount, () =>
              this.attemptRunner.run(request, triedTaskIds, beforeSend),
            );
      mayHaveRun ||= result.outcome === RequestOutcome.Unknown;
      if (!this.mayRetry(request, result)) {
        return this.finish(request, result, mayHaveRun);
      }
      await sleep(this.getBackoffMs(result, retries), request.disconnectSignal);
    }
  }

  private mayRetry(
    request: InteractiveRequest,
    result: RequestResult & { isFinal?: boolean },
  ): boolean {
    if (result.isFinal || request.disconnectSignal.aborted) {
      return false;
    }
    if (result.outcome === RequestOutcome.NotRun) {
      return RETRYABLE_CODES.has(result.code);
    }
    const isUnknown = result.outcome === RequestOutcome.Unknown;
    return (
      isUnknown &&
      request.isIdempotent &&
      this.stats.getServiceStats(request.service.name).budget.tryTake()
    );
  }

  private finish(
    request: InteractiveRequest,
    result: RequestResult,
    mayHaveRun: boolean,
  ): RequestResult {
    const finalResult = applyEarlierAttempts(mayHaveRun, result);
    return finalResult.outcome === RequestOutcome.NotRun
      ? this.recordRefusal(request, finalResult)
      : finalResult;
  }

  private recordRefusal(request: InteractiveRequest, result: RequestResult): RequestResult {
    recordDecision(this.context, {
      subject: ExplainSubject.Request,
      subjectId: request.requestId,
      kind: DecisionKind.Admit,
      decision: `refused as ${result.code}: ${result.message}`,
      inputs: [
        { name: 'service', value: request.service.name },
        { name: 'urgency', value: request.urgency },
        { name: 'queued', value: this.queues.getOrCreate(request.service).length },
        { name: 'remainingMs', value: Math.round(this.getRemainingMs(request)) },
      ],
      rejected: [],
      team: request.team.name,
    });
    return result;
  }

  private getRemainingMs(request: InteractiveRequest): number {
    return remainingMs(this.context.clock, request.deadline);
  }

  private getBackoffMs(result: RequestResult, retries: number): number {
    // After a refusal without a free slot, the queue has already delayed the request.
    if (result.code === OutcomeCode.NoSlot || retries < IMMEDIATE_RETRIES) {
      return 0;
    }
    const delayMs = BACKOFF_MS_MINIMUM * 2 ** Math.min(retries, 10);
    return this.context.random.jitter(Math.min(BACKOFF_MS_MAXIMUM, delayMs));
  }
}

function createNoTargetResult(request: InteractiveRequest): RequestResult {
  return createNotRunResult(OutcomeCode.NoTarget, `service ${request.service.name} has no target`);
}

function createDeadlineTooShortResult(): RequestResult {
  return createNotRunResult(
    OutcomeCode.DeadlineTooShort,
    'too little time remains before the deadline for an attempt',
  );
}

function createDisconnectedResult(): RequestResult {
  return createNotRunResult(OutcomeCode.AttemptCancelled, 'the caller disconnected');
}

/** A refused last attempt does not prove that an earlier attempt with an unknown outcome did not run. */
function applyEarlierAttempts(mayHaveRun: boolean, result: RequestResult): RequestResult {
  if (result.outcome === RequestOutcome.NotRun && mayHaveRun) {
    return createUnknownResult(
      result.code,
      `an earlier attempt may have run; last attempt: ${result.message}`,
    );
  }
  return result;
}
