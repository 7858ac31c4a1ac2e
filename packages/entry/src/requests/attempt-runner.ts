/**
 * Dispatches a request once: chooses an instance and sends an attempt. For an idempotent request that takes
 * longer than the hedge delay, a second attempt goes to another instance (hedging).
 */
import { sleep } from '@figjunction/time';
import { inSpan } from '@figjunction/telemetry';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptId, AttemptResult, TaskId } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { AttemptClient } from './attempt-client.js';
import type { AgentAddress } from './attempt.js';
import type { InstanceStatsTable } from './instance-stats.js';
import { ABORT_REASON, createNotRunResult } from './interactive-request.js';
import type { InteractiveRequest, RequestResult } from './interactive-request.js';
import type { ChosenTarget, TargetSelector } from './target-selector.js';

/** Runs before an attempt is sent. If it returns a result, the attempt is not sent and has that result. */
export type BeforeSend = (attempt: AttemptId, agent: AgentAddress) => Promise<RequestResult | null>;

/** Result of one dispatch. `isFinal` is true when the request must not be retried. */
export type DispatchResult = RequestResult & { isFinal?: boolean };

/** An attempt in progress. */
interface RunningAttempt {
  taskId: TaskId;
  result: Promise<DispatchResult>;
  abortController: AbortController;
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

  /** Dispatches the request and adds the instances used to `triedTaskIds`. */
  async run(
    request: InteractiveRequest,
    triedTaskIds: Set<TaskId>,
    beforeSend?: BeforeSend,
  ): Promise<DispatchResult> {
    const first = this.start(request, triedTaskIds, beforeSend);
    if (first === null) {
      const message = `service ${request.service.name} has no target`;
      return { ...createNotRunResult(OutcomeCode.NoTarget, message), isFinal: true };
    }
    const hedgeDelayMs = this.getHedgeDelayMs(request);
    if (hedgeDelayMs === null) {
      return first.result;
    }
    const firstResult = await Promise.race([first.result, sleep(hedgeDelayMs).then(() => null)]);
    return firstResult ?? this.hedge(request, first, triedTaskIds);
  }

  private getHedgeDelayMs(request: InteractiveRequest): number | null {
    if (!request.isIdempotent || !this.context.settings.policy.routing) {
      return null;
    }
    return this.stats.getServiceStats(request.service.name).getHedgeDelayMs();
  }

  private async hedge(
    request: InteractiveRequest,
    first: RunningAttempt,
    triedTaskIds: Set<TaskId>,
  ): Promise<DispatchResult> {
    // Nobody waits for a second result. The first attempt ends, or its agent confirms that it is cancelled.
    if (request.disconnectSignal.aborted) {
      return first.result;
    }
    const { budget } = this.stats.getServiceStats(request.service.name);
    const second = budget.tryTake() ? this.start(request, triedTaskIds) : null;
    if (second === null) {
      return first.result;
    }
    this.context.metrics.count('hedges_total', { service: request.service.name });
    return awaitFirstCompleted(first, second);
  }

  private start(
    request: InteractiveRequest,
    triedTaskIds: Set<TaskId>,
    beforeSend?: BeforeSend,
  ): RunningAttempt | null {
    const target = this.selector.choose({
      requestId: request.requestId,
      team: request.team.name,
      service: request.service.name,
      deadline: request.deadline,
      bodyBytes: request.body.length,
      avoidedTaskIds: triedTaskIds,
    });
    if (target === null) {
      return null;
    }
    triedTaskIds.add(target.taskId);
    const abortController = new AbortController();
    if (beforeSend === undefined) {
      // A claimed request continues after its caller disconnects, so that a retry finds the result.
      request.disconnectSignal.addEventListener(
        'abort',
        () => abortController.abort(ABORT_REASON),
        {
          signal: abortController.signal,
        },
      );
    }
    const result = this.send(request, target, abortController.signal, beforeSend);
    return { taskId: target.taskId, result, abortController };
  }

  private async send(
    request: InteractiveRequest,
    target: ChosenTarget,
    signal: AbortSignal,
    beforeSend?: BeforeSend,
  ): Promise<DispatchResult> {
    const { clock, metrics } = this.context;
    const service = request.service.name;
    const row = this.stats.getOrCreate(target.taskId, service);
    const attempt = this.client.createAttemptId();
    row.outstanding += 1;
    try {
      const earlyResult = (await beforeSend?.(attempt, target.agent)) ?? null;
      if (earlyResult !== null) {
        return { ...earlyResult, isFinal: true };
      }
      const sentAt = clock.now();
      const attributes = { service, taskId: target.taskId, agentId: target.agent.agentId };
      const result: RequestResult & Partial<AttemptResult> = await inSpan(
        'entry.attempt',
        {},
        attributes,
        () => this.client.run(this.createSpecification(request, target, attempt, signal)),
      );
      if (result.code === OutcomeCode.WrongIncarnation) {
        this.selector.markIncarnationEnded(target.agent);
      }
      this.stats.recordResult(row, result, clock.now() - sentAt);
      metrics.count('entry_attempts_total', {
        service,
        outcome: result.outcome,
        code: result.code,
      });
      return result;
    } finally {
      row.outstanding -= 1;
    }
  }

  private createSpecification(
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
      responseTimeoutMs: this.stats.getServiceStats(request.service.name).getResponseTimeoutMs(),
      signal,
    };
  }
}

/**
 * Returns the first completed result and abandons the other attempt. When neither completes, an unknown
 * outcome takes precedence over not run.
 */
async function awaitFirstCompleted(
  first: RunningAttempt,
  second: RunningAttempt,
): Promise<DispatchResult> {
  const isCompleted = (result: DispatchResult): boolean =>
    result.outcome === RequestOutcome.Completed;
  const earlier = await Promise.race([
    first.result.then((result) => ({ result, other: second })),
    second.result.then((result) => ({ result, other: first })),
  ]);
  if (isCompleted(earlier.result)) {
    earlier.other.abortController.abort(ABORT_REASON);
    return earlier.result;
  }
  const later = await earlier.other.result;
  const mayHaveRun = earlier.result.outcome === RequestOutcome.Unknown;
  return isCompleted(later) || !mayHaveRun ? later : earlier.result;
}
