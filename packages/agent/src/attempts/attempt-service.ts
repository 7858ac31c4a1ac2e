/**
 * Answers `attempt.run`, `attempt.inquire` and `attempt.cancel`.
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
import { callTarget, notRun } from './target-call.js';

const CANCELLED = notRun(
  OutcomeCode.AttemptCancelled,
  'the attempt was cancelled before it arrived',
);
const EXPIRED = notRun(OutcomeCode.AttemptExpired, 'the attempt arrived too late');

/** Headers of a call, as the RPC server hands them over. */
export type CallHeaders = Record<string, string | string[] | undefined>;

export class AttemptService {
  readonly slots: SlotTable;

  readonly attempts: AttemptTable;

  private readonly targets = new HttpClient();

  /** Incarnations that this process held. Another process may have held one between two of them. */
  private readonly heldIncarnations = new Set<AgentIncarnation>();

  constructor(private readonly context: AgentContext) {
    this.slots = new SlotTable(context.clock);
    this.attempts = new AttemptTable({ clock: context.clock });
  }

  async run(parameters: AttemptRunParameters, headers: CallHeaders): Promise<AttemptResult> {
    this.noteIncarnation();
    const isResuming = this.context.pauses.isResuming();
    const { attempt, incarnation } = parameters;
    const known = this.attempts.answerOf(attempt);
    if (known !== null) {
      return known;
    }
    if (incarnation !== this.context.incarnation) {
      // Not recorded: the attempt may have run in the process before this one, and a record here would
      // be taken for a proof that it did not.
      this.countRefusal(OutcomeCode.WrongIncarnation);
      return notRun(OutcomeCode.WrongIncarnation, 'the agent restarted');
    }
    if (this.attempts.isExpired(attempt)) {
      this.countRefusal(OutcomeCode.AttemptExpired);
      return EXPIRED;
    }
    if (isResuming) {
      // Recorded like every refusal that its sender takes for a proof: a second copy of the message may
      // arrive when the pause is over.
      const message = 'the agent has just resumed from a pause';
      return this.refuse(parameters, headers, OutcomeCode.AttemptExpired, message);
    }
    return this.admit(parameters, headers);
  }

  inquire(reference: AttemptReference): AttemptInquireResult {
    this.noteIncarnation();
    const found = this.attempts.inquire(reference.attempt);
    if (found.state === AttemptState.UnknownHere) {
      this.requireOwnIncarnation(reference.incarnation);
    }
    return found;
  }

  cancel(reference: AttemptReference): AttemptCancelResult {
    this.noteIncarnation();
    if (this.attempts.answerOf(reference.attempt) === null) {
      this.requireOwnIncarnation(reference.incarnation);
    }
    return this.attempts.cancel(reference.attempt, CANCELLED);
  }

  /** Notes which incarnation this process holds; 0 is none. */
  noteIncarnation(): void {
    if (this.context.incarnation !== 0) {
      this.heldIncarnations.add(this.context.incarnation);
    }
  }

  close(): void {
    this.targets.close();
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
      return this.refuse(parameters, headers, OutcomeCode.NoTarget, 'the instance is not here');
    }
    if (instance.draining) {
      return this.refuse(parameters, headers, OutcomeCode.Draining, 'the instance is draining');
    }
    if (!(remainingMs > 0)) {
      return this.refuse(parameters, headers, OutcomeCode.DeadlineTooShort, 'no time is left');
    }
    const classes = context.configuration.current()?.classes ?? [];
    if (!this.slots.take(instance, urgency, classes)) {
      return this.refuse(parameters, headers, OutcomeCode.NoSlot, 'no slot is free for the class');
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
        callTarget(this.targets, {
          address: instance.targetAddress as string,
          contentType: parameters.contentType,
          body: Buffer.from(parameters.bodyBase64, 'base64'),
          timeoutMs: parameters.remainingMs,
          headers: { ...traceHeaders(), ...requestIdHeader(headers) },
        }),
      );
    } finally {
      this.slots.give(instance, urgency);
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
    const result = notRun(code, message, instance?.slotsUsed ?? 0);
    this.countRefusal(code);
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

  private countRefusal(code: OutcomeCode): void {
    this.context.metrics.count('attempts_refused_total', { code });
  }

  /** Only the process that held the incarnation can say that an attempt never arrived. */
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
