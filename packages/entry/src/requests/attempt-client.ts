/**
 * The life of one attempt at an agent. Every end is mapped to completed, not run or unknown: "not run" only
 * when the agent refused or recorded a cancellation, or when no byte of the call left this process.
 */
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { RpcError } from '@figjunction/rpc';
import { remainingMs, sleep } from '@figjunction/time';
import { traceHeaders } from '@figjunction/telemetry';
import {
  AGENT_ID_HEADER,
  AttemptState,
  OutcomeCode,
  REQUEST_ID_HEADER,
  RpcMethod,
} from '@figjunction/types';
import type { AttemptId, AttemptReference } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import {
  NOT_REACHED,
  cancelled,
  endOfCall,
  firstOf,
  forgotten,
  isAnswerTo,
  restarted,
} from './attempt.js';
import type { AgentAddress, AttemptEnd, AttemptOrder, CallEnd, Settlement } from './attempt.js';
import { ENDED, unknown } from './interactive-request.js';

/** Timers fire a little early; a deadline this close has passed. */
const DEADLINE_SLACK_MS = 2;

/** The last question after the deadline may take this long; it can still prove "not run". */
const LAST_CANCEL_MS = 250;

const FIRST_POLL_MS = 25;

/** A broken call and this many failed inquiries in a row: the agent is taken for gone. */
const INQUIRY_FAILURES_MAXIMUM = 3;

const GAVE_UP = unknown(OutcomeCode.TimedOut, 'no answer came before the deadline');

export class AttemptClient {
  private sequence = 0;

  constructor(private readonly context: EntryContext) {}

  nextAttempt(): AttemptId {
    this.sequence += 1;
    return { entryIncarnation: this.context.incarnation, sequence: this.sequence };
  }

  /** Runs an attempt to its end. Never throws. */
  async run(order: AttemptOrder): Promise<AttemptEnd> {
    const abort = new AbortController();
    try {
      return await this.follow(order, this.send(order, abort.signal));
    } finally {
      // Destroys the connection when the call is still open: it went silent or is not needed.
      abort.abort(ENDED);
    }
  }

  /**
   * Asks an agent how an attempt ended, and cancels it there when it never arrived. Null when the answer
   * is not known yet.
   */
  async settle(
    order: Pick<AttemptOrder, 'agent' | 'attempt' | 'silenceBoundMs'>,
  ): Promise<Settlement> {
    const reference = { attempt: order.attempt, incarnation: order.agent.incarnation };
    try {
      const inquiry = await this.inquire(order.agent, reference, order.silenceBoundMs);
      this.context.metrics.count('attempt_inquiries_total', { state: inquiry.state });
      if (!isAnswerTo(order.attempt, inquiry)) {
        return NOT_REACHED;
      }
      switch (inquiry.state) {
        case AttemptState.Running:
          return { end: null, reached: true };
        case AttemptState.Ended:
          return { end: inquiry.result ?? forgotten(), reached: true };
        case AttemptState.Cancelled:
          return { end: inquiry.result ?? cancelled(), reached: true };
        default:
          return { end: await this.cancel(order), reached: true };
      }
    } catch (error) {
      if (errorCodeOf(error) === ErrorCode.Conflict) {
        return { end: restarted(), reached: true };
      }
      return NOT_REACHED;
    }
  }

  /** Cancels an attempt that may not have arrived: its end, or null when it runs or nobody answers. */
  async cancel(
    order: Pick<AttemptOrder, 'agent' | 'attempt' | 'silenceBoundMs'>,
  ): Promise<AttemptEnd | null> {
    const { agent, attempt, silenceBoundMs } = order;
    const reference = { attempt, incarnation: agent.incarnation };
    try {
      const answer = await this.context.rpc.call(
        agent.address,
        RpcMethod.AttemptCancel,
        reference,
        this.questionOptions(agent, silenceBoundMs),
      );
      if (!isAnswerTo(attempt, answer)) {
        return null;
      }
      return answer.started ? answer.result : cancelled();
    } catch {
      return null;
    }
  }

  private async follow(order: AttemptOrder, call: Promise<CallEnd>): Promise<AttemptEnd> {
    const { clock } = this.context;
    let open: Promise<CallEnd> | null = call;
    let failures = 0;
    let pollMs = FIRST_POLL_MS;
    for (;;) {
      const waitMs = open === null ? pollMs : order.silenceBoundMs;
      const end = await firstOf(open, Math.min(waitMs, remainingMs(clock, order.deadline)), order);
      const answer = endOfCall(end);
      if (answer !== null) {
        return answer;
      }
      if (end !== null) {
        open = null;
      }
      if (order.signal?.aborted || remainingMs(clock, order.deadline) < DEADLINE_SLACK_MS) {
        return this.giveUp(order);
      }
      const asked = await this.settleOrAnswer(order, open);
      if (asked.end !== null) {
        return asked.end;
      }
      failures = asked.reached ? 0 : failures + 1;
      if (open === null && failures >= INQUIRY_FAILURES_MAXIMUM) {
        return unknown(OutcomeCode.ConnectionLost, 'the connection to the agent broke');
      }
      pollMs = Math.min(pollMs * 2, order.silenceBoundMs);
    }
  }

  /** Asks until the deadline, unless the call answers in the meantime. */
  private settleOrAnswer(order: AttemptOrder, open: Promise<CallEnd> | null): Promise<Settlement> {
    const asked = this.settle(order);
    const late = sleep(remainingMs(this.context.clock, order.deadline)).then(() => NOT_REACHED);
    if (open === null) {
      return Promise.race([asked, late]);
    }
    const answered = open.then((end) =>
      end.result === null ? asked : { end: endOfCall(end), reached: true },
    );
    return Promise.race([asked, answered, late]);
  }

  private async giveUp(order: AttemptOrder): Promise<AttemptEnd> {
    const end = await this.cancel({ ...order, silenceBoundMs: LAST_CANCEL_MS });
    return end ?? GAVE_UP;
  }

  private async send(order: AttemptOrder, signal: AbortSignal): Promise<CallEnd> {
    const { agent, attempt, parameters, deadline } = order;
    const left = remainingMs(this.context.clock, deadline);
    const { incarnation } = agent;
    try {
      const result = await this.context.rpc.call(
        agent.address,
        RpcMethod.AttemptRun,
        { ...parameters, attempt, incarnation, remainingMs: left },
        {
          timeoutMs: left + LAST_CANCEL_MS,
          headers: { ...this.headersTo(agent), [REQUEST_ID_HEADER]: order.requestId },
          signal,
        },
      );
      return isAnswerTo(attempt, result) ? { result } : { result: null, requestSent: true };
    } catch (error) {
      return { result: null, requestSent: !(error instanceof RpcError) || error.requestSent };
    }
  }

  private inquire(agent: AgentAddress, reference: AttemptReference, timeoutMs: number) {
    return this.context.rpc.call(
      agent.address,
      RpcMethod.AttemptInquire,
      reference,
      this.questionOptions(agent, timeoutMs),
    );
  }

  private questionOptions(agent: AgentAddress, timeoutMs: number) {
    return { timeoutMs, newConnection: true, headers: this.headersTo(agent) };
  }

  private headersTo(agent: AgentAddress): Record<string, string> {
    return { ...traceHeaders(), [AGENT_ID_HEADER]: agent.agentId };
  }
}
