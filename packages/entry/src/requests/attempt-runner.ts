/**
 * One turn of a request: chooses an instance, sends an attempt and, for an idempotent request that takes
 * longer than usual, a second one to another instance.
 */
import { sleep } from '@figjunction/time';
import { inSpan } from '@figjunction/telemetry';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptId, AttemptResult, TaskId } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { AttemptClient } from './attempt-client.js';
import type { AgentAddress } from './attempt.js';
import type { InstanceStatsTable } from './instance-stats.js';
import { ENDED, notRun } from './interactive-request.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';
import type { ChosenTarget, TargetSelector } from './target-selector.js';

/** Runs before an attempt is sent; an end that it returns takes the attempt's place. */
export type BeforeSend = (attempt: AttemptId, agent: AgentAddress) => Promise<RequestEnd | null>;

/** `isFinal` when no other attempt can help. */
export type TurnEnd = RequestEnd & { isFinal?: boolean };

/** An attempt under way. */
interface Running {
  taskId: TaskId;
  end: Promise<TurnEnd>;
  giveUp: AbortController;
}

export class AttemptRunner {
  readonly client: AttemptClient;

  constructor(
    private readonly context: EntryContext,
    private readonly stats: InstanceStatsTable,
    private readonly selector: TargetSelector,
  ) {
    this.client = new AttemptClient(context);
  }

  /** Adds the instances that were used to `tried`. */
  async run(
    request: InteractiveRequest,
    tried: Set<TaskId>,
    beforeSend?: BeforeSend,
  ): Promise<TurnEnd> {
    const first = this.start(request, tried, beforeSend);
    if (first === null) {
      const message = `service ${request.service.name} has no target`;
      return { ...notRun(OutcomeCode.NoTarget, message), isFinal: true };
    }
    const hedgeAfterMs = this.hedgeAfterMs(request);
    if (hedgeAfterMs === null) {
      return first.end;
    }
    const early = await Promise.race([first.end, sleep(hedgeAfterMs).then(() => null)]);
    return early ?? this.hedge(request, first, tried);
  }

  private hedgeAfterMs(request: InteractiveRequest): number | null {
    if (!request.idempotent || !this.context.settings.policy.routing) {
      return null;
    }
    return this.stats.service(request.service.name).hedgeAfterMs();
  }

  private async hedge(
    request: InteractiveRequest,
    first: Running,
    tried: Set<TaskId>,
  ): Promise<TurnEnd> {
    const { budget } = this.stats.service(request.service.name);
    const second = budget.take() ? this.start(request, tried) : null;
    if (second === null) {
      return first.end;
    }
    this.context.metrics.count('hedges_total', { service: request.service.name });
    return firstCompleted(first, second);
  }

  private start(
    request: InteractiveRequest,
    tried: Set<TaskId>,
    beforeSend?: BeforeSend,
  ): Running | null {
    const target = this.selector.choose({
      requestId: request.requestId,
      team: request.team.name,
      service: request.service.name,
      deadline: request.deadline,
      bodyBytes: request.body.length,
      avoid: tried,
    });
    if (target === null) {
      return null;
    }
    tried.add(target.taskId);
    const giveUp = new AbortController();
    if (beforeSend === undefined) {
      // A claimed request goes on without its caller, so that a repetition finds the answer.
      request.callerGone.addEventListener('abort', () => giveUp.abort(ENDED), {
        signal: giveUp.signal,
      });
    }
    const end = this.send(request, target, giveUp.signal, beforeSend);
    return { taskId: target.taskId, end, giveUp };
  }

  private async send(
    request: InteractiveRequest,
    target: ChosenTarget,
    signal: AbortSignal,
    beforeSend?: BeforeSend,
  ): Promise<TurnEnd> {
    const { clock, metrics } = this.context;
    const service = request.service.name;
    const row = this.stats.of(target.taskId, service);
    const attempt = this.client.nextAttempt();
    row.outstanding += 1;
    try {
      const stopped = (await beforeSend?.(attempt, target.agent)) ?? null;
      if (stopped !== null) {
        return { ...stopped, isFinal: true };
      }
      const sentAt = clock.now();
      const attributes = { service, taskId: target.taskId, agentId: target.agent.agentId };
      const end: RequestEnd & Partial<AttemptResult> = await inSpan(
        'entry.attempt',
        {},
        attributes,
        () => this.client.run(this.orderOf(request, target, attempt, signal)),
      );
      if (end.code === OutcomeCode.WrongIncarnation) {
        this.selector.noteEnded(target.agent);
      }
      this.stats.recordEnd(row, end, clock.now() - sentAt);
      metrics.count('entry_attempts_total', { service, outcome: end.outcome, code: end.code });
      return end;
    } finally {
      row.outstanding -= 1;
    }
  }

  private orderOf(
    request: InteractiveRequest,
    target: ChosenTarget,
    attempt: AttemptId,
    signal: AbortSignal,
  ) {
    return {
      agent: target.agent,
      attempt,
      requestId: request.requestId,
      parameters: {
        taskId: target.taskId,
        service: request.service.name,
        team: request.team.name,
        urgency: request.urgency,
        contentType: request.contentType,
        bodyBase64: request.body.toString('base64'),
      },
      deadline: request.deadline,
      silenceBoundMs: this.stats.service(request.service.name).silenceBoundMs(),
      signal,
    };
  }
}

/** The first complete answer, or what is known when neither has one. */
async function firstCompleted(first: Running, second: Running): Promise<TurnEnd> {
  const isCompleted = (end: TurnEnd): boolean => end.outcome === RequestOutcome.Completed;
  const either = await Promise.race([
    first.end.then((end) => ({ end, other: second })),
    second.end.then((end) => ({ end, other: first })),
  ]);
  if (isCompleted(either.end)) {
    either.other.giveUp.abort(ENDED);
    return either.end;
  }
  const last = await either.other.end;
  const mayHaveRun = either.end.outcome === RequestOutcome.Unknown;
  return isCompleted(last) || !mayHaveRun ? last : either.end;
}
