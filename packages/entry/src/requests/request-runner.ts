/**
 * Runs one request through quota, queue and attempts. Another attempt follows only a proof that the last
 * one did not run, or, for an idempotent request, the retry budget.
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
import { notRun, unknown } from './interactive-request.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';
import { QuotaGate } from './quota-limiter.js';
import { RegionLink } from './region-link.js';
import { ServiceQueues } from './service-queues.js';
import { TargetSelector } from './target-selector.js';

/** Refusals after which another instance, or the same one later, may take the request. */
const REPEATABLE_CODES = new Set([
  OutcomeCode.NoSlot,
  OutcomeCode.Draining,
  OutcomeCode.NoTarget,
  OutcomeCode.WrongIncarnation,
  OutcomeCode.AttemptCancelled,
  OutcomeCode.AttemptExpired,
  OutcomeCode.TargetFailed,
  OutcomeCode.ConnectionLost,
]);

/** An attempt with less time left would end as unknown more often than as completed. */
const ATTEMPT_MS_MINIMUM = 5;

const BACKOFF_MS = 5;
const BACKOFF_MS_MAXIMUM = 100;

/** Further attempts after this many wait even when another instance may take them. */
const IMMEDIATE_REPEATS = 2;

export class RequestRunner {
  readonly attempts: AttemptRunner;

  readonly selector: TargetSelector;

  private readonly stats: InstanceStatsTable;

  private readonly queues: ServiceQueues;

  private readonly quota: QuotaGate;

  constructor(
    private readonly context: EntryContext,
    readonly link = new RegionLink(context),
  ) {
    this.stats = new InstanceStatsTable(context.clock);
    this.selector = new TargetSelector(context, this.stats, link);
    this.attempts = new AttemptRunner(context, this.stats, this.selector);
    this.queues = new ServiceQueues(context, this.stats);
    this.quota = new QuotaGate(context);
  }

  /** Counts the request against its team's quota; its end when the quota is used up. */
  admit(request: InteractiveRequest): RequestEnd | null {
    const refusal = this.admitTeam(request.team);
    return refusal === null ? null : this.refused(request, refusal);
  }

  admitTeam(team: TeamConfiguration): RequestEnd | null {
    if (this.quota.admit(team)) {
      return null;
    }
    const { name, requestsPerSecond } = team;
    const message = `team ${name} is over its quota of ${requestsPerSecond} requests per second`;
    return notRun(OutcomeCode.QuotaExceeded, message);
  }

  /** Runs an admitted request to its end. `beforeSend` may stop an attempt that nothing was sent for. */
  async run(request: InteractiveRequest, beforeSend?: BeforeSend): Promise<RequestEnd> {
    this.stats.service(request.service.name).budget.earn();
    const queue = this.queues.of(request.service);
    const tried = new Set<TaskId>();
    let mayHaveRun = false;
    for (let repeats = 0; ; repeats += 1) {
      if (request.callerGone.aborted) {
        return notRunOrUnknown(mayHaveRun, callerWentAway());
      }
      if (this.leftMs(request) < ATTEMPT_MS_MINIMUM) {
        return this.conclude(request, tooLate(), mayHaveRun);
      }
      const slots = this.selector.slotsOf(request.service.name);
      const end =
        slots === 0
          ? { ...noTarget(request), isFinal: true }
          : await queue.run(request, repeats > 0, slots, () =>
              this.attempts.run(request, tried, beforeSend),
            );
      mayHaveRun ||= end.outcome === RequestOutcome.Unknown;
      if (!this.mayRepeat(request, end)) {
        return this.conclude(request, end, mayHaveRun);
      }
      await sleep(this.backoffMs(end, repeats), request.callerGone);
    }
  }

  private mayRepeat(request: InteractiveRequest, end: RequestEnd & { isFinal?: boolean }): boolean {
    if (end.isFinal || request.callerGone.aborted) {
      return false;
    }
    if (end.outcome === RequestOutcome.NotRun) {
      return REPEATABLE_CODES.has(end.code);
    }
    const isUnknown = end.outcome === RequestOutcome.Unknown;
    return (
      isUnknown && request.idempotent && this.stats.service(request.service.name).budget.take()
    );
  }

  private conclude(request: InteractiveRequest, end: RequestEnd, mayHaveRun: boolean): RequestEnd {
    const honest = notRunOrUnknown(mayHaveRun, end);
    return honest.outcome === RequestOutcome.NotRun ? this.refused(request, honest) : honest;
  }

  private refused(request: InteractiveRequest, end: RequestEnd): RequestEnd {
    recordDecision(this.context, {
      subject: ExplainSubject.Request,
      subjectId: request.requestId,
      kind: DecisionKind.Admit,
      decision: `refused as ${end.code}: ${end.message}`,
      inputs: [
        { name: 'service', value: request.service.name },
        { name: 'urgency', value: request.urgency },
        { name: 'queued', value: this.queues.of(request.service).length },
        { name: 'remainingMs', value: Math.round(this.leftMs(request)) },
      ],
      rejected: [],
      team: request.team.name,
    });
    return end;
  }

  private leftMs(request: InteractiveRequest): number {
    return remainingMs(this.context.clock, request.deadline);
  }

  private backoffMs(end: RequestEnd, repeats: number): number {
    // The queue has already waited after a refusal for want of a slot.
    if (end.code === OutcomeCode.NoSlot || repeats < IMMEDIATE_REPEATS) {
      return 0;
    }
    const doubled = BACKOFF_MS * 2 ** Math.min(repeats, 10);
    return this.context.random.jitter(Math.min(BACKOFF_MS_MAXIMUM, doubled));
  }
}

function noTarget(request: InteractiveRequest): RequestEnd {
  return notRun(OutcomeCode.NoTarget, `service ${request.service.name} has no target`);
}

function tooLate(): RequestEnd {
  return notRun(OutcomeCode.DeadlineTooShort, 'the deadline leaves no time for an attempt');
}

function callerWentAway(): RequestEnd {
  return notRun(OutcomeCode.AttemptCancelled, 'the caller went away');
}

/** A refusal of the last attempt says nothing about an earlier one whose outcome is unknown. */
function notRunOrUnknown(mayHaveRun: boolean, end: RequestEnd): RequestEnd {
  if (end.outcome === RequestOutcome.NotRun && mayHaveRun) {
    return unknown(end.code, `an earlier attempt may have run; then: ${end.message}`);
  }
  return end;
}
