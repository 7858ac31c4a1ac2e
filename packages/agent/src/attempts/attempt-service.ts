/**
 * Implements the methods `attempt.run`, `attempt.inquire` and `attempt.cancel`. An attempt is one try of a
 * request.
 */
import { ErrorCode } from '@figjunction/errors';
import { HttpClient } from '@figjunction/http';
import { inSpan, traceHeaders } from '@figjunction/telemetry';
import {
  AgentState,
  AttemptState,
  OutcomeCode,
  DecisionKind,
  ExplainSubject,
  REQUEST_ID_HEADER,
  RequestOutcome,
} from '@figjunction/types';
import type {
  AgentIncarnation,
  AttemptCancelResult,
  AttemptInquireResult,
  AttemptReference,
  AttemptResult,
  AttemptRunParameters,
} from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import { AgentError } from '../agent-error.js';
import type { InstanceEntry } from '../instance-table.js';
import { AttemptTable } from './attempt-table.js';
import { SlotTable } from './slot-table.js';
import { callTarget, createNotRunResult } from './target-call.js';

const CANCELLED = createNotRunResult(
  OutcomeCode.AttemptCancelled,
  'the attempt was cancelled before it arrived',
);
const EXPIRED = createNotRunResult(
  OutcomeCode.AttemptExpired,
  'the attempt arrived after its record expired',
);

/** Headers of a call, as the RPC server passes them to a handler. */
export type CallHeaders = Record<string, string | string[] | undefined>;

export class AttemptService {
  readonly slots: SlotTable;

  readonly attempts: AttemptTable;

  private readonly targetClient = new HttpClient();

  /** Incarnations that this process held. Between two of them, another process may have held one. */
  private readonly heldIncarnations = new Set<AgentIncarnation>();

  constructor(private readonly context: AgentContext) {
    this.slots = new SlotTable(context.clock);
    this.attempts = new AttemptTable({ clock: context.clock });
  }

  async run(parameters: AttemptRunParameters, headers: CallHeaders): Promise<AttemptResult> {
    this.recordIncarnation();
    const isResuming = this.context.pauseDetector.isResuming();
    const { attempt, incarnation } = parameters;
    const known = this.attempts.findResult(attempt);
    if (known !== null) {
      return known;
    }
    if (incarnation !== this.context.incarnation) {
      // Not recorded: the attempt may have run in an earlier process, and a record here would count as
      // proof that it did not.
      this.countRefusedAttempt(OutcomeCode.WrongIncarnation);
      return createNotRunResult(OutcomeCode.WrongIncarnation, 'the agent restarted');
    }
    if (this.attempts.isExpired(attempt)) {
      this.countRefusedAttempt(OutcomeCode.AttemptExpired);
      return EXPIRED;
    }
    if (isResuming) {
      // Recorded, because the entry treats the refusal as proof that the attempt did not run: a second copy
      // of the message may arrive after the pause.
      const message = 'the agent has just resumed from a pause';
      return this.refuse(parameters, headers, OutcomeCode.AttemptExpired, message);
    }
    return this.admit(parameters, headers);
  }

  inquire(reference: AttemptReference): AttemptInquireResult {
    this.recordIncarnation();
    const found = this.attempts.inquire(reference.attempt);
    if (found.state === AttemptState.UnknownHere) {
      this.requireOwnIncarnation(reference.incarnation);
    }
    return found;
  }

  cancel(reference: AttemptReference): AttemptCancelResult {
    this.recordIncarnation();
    if (this.attempts.findResult(reference.attempt) === null) {
      this.requireOwnIncarnation(reference.incarnation);
    }
    return this.attempts.cancel(reference.attempt, CANCELLED);
  }

  /** Records the incarnation that this process holds, if any. */
  recordIncarnation(): void {
    if (this.context.incarnation !== 0) {
      this.heldIncarnations.add(this.context.incarnation);
    }
  }

  close(): void {
    this.targetClient.close();
  }

  private admit(parameters: AttemptRunParameters, headers: CallHeaders): Promise<AttemptResult> {
    const { context } = this;
    const { attempt, service, taskId, urgency, remainingMs } = parameters;
    if (context.state !== AgentState.Serving) {
      return this.refuse(
        parameters,
        headers,
        OutcomeCode.Draining,
        `the agent is ${context.state}`,
      );
    }
    const instance = context.instances.get(taskId);
    if (instance === undefined || instance.service !== service || instance.targetAddress === null) {
      return this.refuse(
        parameters,
        headers,
        OutcomeCode.NoTarget,
        'the instance does not run on this VM',
      );
    }
    if (instance.draining) {
      return this.refuse(parameters, headers, OutcomeCode.Draining, 'the instance is draining');
    }
    if (!(remainingMs > 0)) {
      return this.refuse(
        parameters,
        headers,
        OutcomeCode.DeadlineTooShort,
        'no time remains before the deadline',
      );
    }
    const classes = context.configuration.current()?.classes ?? [];
    if (!this.slots.acquire(instance, urgency, classes)) {
      return this.refuse(
        parameters,
        headers,
        OutcomeCode.NoSlot,
        'no slot is free for the urgency class',
      );
    }
    return this.attempts.start(attempt, () => this.execute(instance, parameters, headers));
  }

  private async execute(
    instance: InstanceEntry,
    parameters: AttemptRunParameters,
    headers: CallHeaders,
  ): Promise<AttemptResult> {
    const { service, urgency } = parameters;
    const { clock, metrics } = this.context;
    const startedAt = clock.now();
    const attributes = { service, urgency, taskId: parameters.taskId };
    let result: AttemptResult;
    try {
      result = await inSpan('agent.attempt', headers, attributes, () =>
        callTarget(this.targetClient, {
          address: instance.targetAddress as string,
          contentType: parameters.contentType,
          body: Buffer.from(parameters.bodyBase64, 'base64'),
          timeoutMs: parameters.remainingMs,
          headers: { ...traceHeaders(), ...requestIdHeader(headers) },
        }),
      );
    } finally {
      this.slots.release(instance, urgency);
    }
    metrics.count('attempts_total', { service, urgency, outcome: result.outcome });
    if (result.outcome === RequestOutcome.Completed) {
      metrics.recordLatency('attempt_ms', clock.now() - startedAt, { service, urgency });
    }
    return { ...result, slotsUsed: instance.slotsUsed };
  }

  private refuse(
    parameters: AttemptRunParameters,
    headers: CallHeaders,
    code: OutcomeCode,
    message: string,
  ): Promise<AttemptResult> {
    const instance = this.context.instances.get(parameters.taskId);
    const result = createNotRunResult(code, message, instance?.slotsUsed ?? 0);
    this.countRefusedAttempt(code);
    this.attempts.refuse(parameters.attempt, result);
    this.explainRefusal(parameters, headers, result);
    return Promise.resolve(result);
  }

  private explainRefusal(
    parameters: AttemptRunParameters,
    headers: CallHeaders,
    result: AttemptResult,
  ): void {
    const requestId = headers[REQUEST_ID_HEADER];
    if (typeof requestId !== 'string') {
      return;
    }
    const { context } = this;
    context.decisions.add({
      subject: ExplainSubject.Request,
      subjectId: requestId,
      kind: DecisionKind.Admit,
      decidedAt: new Date(context.clock.wallTimeMs()).toISOString(),
      decidedBy: context.settings.agentId,
      configurationRevision: context.configuration.revision(),
      decision: `refused as ${result.code}: ${result.message}`,
      inputs: [
        { name: 'instance', value: parameters.taskId },
        { name: 'urgency', value: parameters.urgency },
        { name: 'slotsUsed', value: result.slotsUsed },
        { name: 'remainingMs', value: Math.round(parameters.remainingMs) },
      ],
      rejected: [],
      team: parameters.team,
    });
  }

  private countRefusedAttempt(code: OutcomeCode): void {
    this.context.metrics.count('attempts_refused_total', { code });
  }

  /** Throws unless this process held the incarnation and thus knows which attempts never arrived. */
  private requireOwnIncarnation(incarnation: AgentIncarnation): void {
    if (!this.heldIncarnations.has(incarnation)) {
      throw new AgentError(`incarnation ${incarnation} was held by another process`, {
        code: ErrorCode.Conflict,
      });
    }
  }
}

function requestIdHeader(headers: CallHeaders): Record<string, string> {
  const requestId = headers[REQUEST_ID_HEADER];
  return typeof requestId === 'string' ? { [REQUEST_ID_HEADER]: requestId } : {};
}
