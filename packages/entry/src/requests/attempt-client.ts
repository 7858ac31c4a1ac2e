/**
 * Sends one attempt to an agent and determines its result: completed, not run or unknown. The result is
 * "not run" only when the agent refused the attempt or recorded its cancellation, or when no byte of the
 * call left this process.
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
  AGENT_UNREACHABLE,
  createAgentRestartedResult,
  createCancelledResult,
  createNotKeptResult,
  isResponseTo,
  toAttemptResult,
  waitForCall,
} from './attempt.js';
import type {
  AgentAddress,
  AttemptClientResult,
  AttemptSpecification,
  CallResult,
  InquiryResult,
} from './attempt.js';
import { ABORT_REASON, createUnknownResult } from './interactive-request.js';

/** Timers can fire slightly early, so a deadline that is this close counts as passed. */
const DEADLINE_SLACK_MS = 2;

/** Timeout of the cancellation sent after the deadline, which can still prove "not run". */
const FINAL_CANCEL_TIMEOUT_MS = 250;

const INITIAL_POLL_INTERVAL_MS = 25;

/** After a failed call and this many failed inquiries in a row, the agent counts as unreachable. */
const INQUIRY_FAILURES_MAXIMUM = 3;

const DEADLINE_PASSED_RESULT = createUnknownResult(
  OutcomeCode.TimedOut,
  'no response arrived before the deadline',
);

export class AttemptClient {
  private sequence = 0;

  constructor(private readonly context: EntryContext) {}

  createAttemptId(): AttemptId {
    this.sequence += 1;
    return { entryIncarnation: this.context.incarnation, sequence: this.sequence };
  }

  /** Sends an attempt and waits for its result. Never throws. */
  async run(specification: AttemptSpecification): Promise<AttemptClientResult> {
    const callAbort = new AbortController();
    try {
      return await this.awaitResult(specification, this.send(specification, callAbort.signal));
    } finally {
      // Closes the connection of a call that is still open: it timed out or is no longer needed.
      callAbort.abort(ABORT_REASON);
    }
  }

  /**
   * Requests the result of an attempt from its agent, and cancels the attempt when it never arrived there.
   * The result is null while it is not known.
   */
  async resolve(
    specification: Pick<AttemptSpecification, 'agent' | 'attempt' | 'responseTimeoutMs'>,
  ): Promise<InquiryResult> {
    const reference = {
      attempt: specification.attempt,
      incarnation: specification.agent.incarnation,
    };
    try {
      const inquiry = await this.inquire(
        specification.agent,
        reference,
        specification.responseTimeoutMs,
      );
      this.context.metrics.count('attempt_inquiries_total', { state: inquiry.state });
      if (!isResponseTo(specification.attempt, inquiry)) {
        return AGENT_UNREACHABLE;
      }
      switch (inquiry.state) {
        case AttemptState.Running:
          return { result: null, isReachable: true };
        case AttemptState.Ended:
          return { result: inquiry.result ?? createNotKeptResult(), isReachable: true };
        case AttemptState.Cancelled:
          return { result: inquiry.result ?? createCancelledResult(), isReachable: true };
        default:
          return { result: await this.cancel(specification), isReachable: true };
      }
    } catch (error) {
      if (errorCodeOf(error) === ErrorCode.Conflict) {
        return { result: createAgentRestartedResult(), isReachable: true };
      }
      return AGENT_UNREACHABLE;
    }
  }

  /**
   * Cancels an attempt that may not have arrived. Returns its result, or null when the attempt is running
   * or the agent does not respond.
   */
  async cancel(
    specification: Pick<AttemptSpecification, 'agent' | 'attempt' | 'responseTimeoutMs'>,
  ): Promise<AttemptClientResult | null> {
    const { agent, attempt, responseTimeoutMs } = specification;
    const reference = { attempt, incarnation: agent.incarnation };
    try {
      const response = await this.context.rpc.call(
        agent.address,
        RpcMethod.AttemptCancel,
        reference,
        this.createInquiryOptions(agent, responseTimeoutMs),
      );
      if (!isResponseTo(attempt, response)) {
        return null;
      }
      return response.started ? response.result : createCancelledResult();
    } catch {
      return null;
    }
  }

  private async awaitResult(
    specification: AttemptSpecification,
    call: Promise<CallResult>,
  ): Promise<AttemptClientResult> {
    const { clock } = this.context;
    let openCall: Promise<CallResult> | null = call;
    let failures = 0;
    let pollIntervalMs = INITIAL_POLL_INTERVAL_MS;
    for (;;) {
      const waitMs = openCall === null ? pollIntervalMs : specification.responseTimeoutMs;
      const finishedCall = await waitForCall(
        openCall,
        Math.min(waitMs, remainingMs(clock, specification.deadline)),
        specification,
      );
      const result = toAttemptResult(finishedCall);
      if (result !== null) {
        return result;
      }
      if (finishedCall !== null) {
        openCall = null;
      }
      if (
        specification.signal?.aborted ||
        remainingMs(clock, specification.deadline) < DEADLINE_SLACK_MS
      ) {
        return this.abandon(specification);
      }
      const inquiry = await this.inquireOrAwaitCall(specification, openCall);
      if (inquiry.result !== null) {
        return inquiry.result;
      }
      failures = inquiry.isReachable ? 0 : failures + 1;
      if (openCall === null && failures >= INQUIRY_FAILURES_MAXIMUM) {
        return createUnknownResult(
          OutcomeCode.ConnectionLost,
          'the connection to the agent was lost',
        );
      }
      pollIntervalMs = Math.min(pollIntervalMs * 2, specification.responseTimeoutMs);
    }
  }

  /** Sends an inquiry and waits for its result, the result of the open call or the deadline. */
  private inquireOrAwaitCall(
    specification: AttemptSpecification,
    openCall: Promise<CallResult> | null,
  ): Promise<InquiryResult> {
    const inquiry = this.resolve(specification);
    const timeout = sleep(remainingMs(this.context.clock, specification.deadline)).then(
      () => AGENT_UNREACHABLE,
    );
    if (openCall === null) {
      return Promise.race([inquiry, timeout]);
    }
    const response = openCall.then((call) =>
      call.result === null ? inquiry : { result: toAttemptResult(call), isReachable: true },
    );
    return Promise.race([inquiry, response, timeout]);
  }

  /** Cancels the attempt. The outcome is unknown unless the response contains a result. */
  private async abandon(specification: AttemptSpecification): Promise<AttemptClientResult> {
    const result = await this.cancel({
      ...specification,
      responseTimeoutMs: FINAL_CANCEL_TIMEOUT_MS,
    });
    return result ?? DEADLINE_PASSED_RESULT;
  }

  private async send(
    specification: AttemptSpecification,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { agent, attempt, parameters, deadline } = specification;
    const timeLeftMs = remainingMs(this.context.clock, deadline);
    const { incarnation } = agent;
    try {
      const result = await this.context.rpc.call(
        agent.address,
        RpcMethod.AttemptRun,
        { ...parameters, attempt, incarnation, remainingMs: timeLeftMs },
        {
          timeoutMs: timeLeftMs + FINAL_CANCEL_TIMEOUT_MS,
          headers: { ...this.createHeaders(agent), [REQUEST_ID_HEADER]: specification.requestId },
          signal,
        },
      );
      return isResponseTo(attempt, result) ? { result } : { result: null, requestSent: true };
    } catch (error) {
      return { result: null, requestSent: !(error instanceof RpcError) || error.requestSent };
    }
  }

  private inquire(agent: AgentAddress, reference: AttemptReference, timeoutMs: number) {
    return this.context.rpc.call(
      agent.address,
      RpcMethod.AttemptInquire,
      reference,
      this.createInquiryOptions(agent, timeoutMs),
    );
  }

  private createInquiryOptions(agent: AgentAddress, timeoutMs: number) {
    return { timeoutMs, newConnection: true, headers: this.createHeaders(agent) };
  }

  private createHeaders(agent: AgentAddress): Record<string, string> {
    return { ...traceHeaders(), [AGENT_ID_HEADER]: agent.agentId };
  }
}
