/**
 * Calls the VM to start a run, and again while calls get no response, as long as the scheduler wants the run.
 */
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import type { EventLog } from '@figjunction/logger';
import { sleep } from '@figjunction/time';
import type { Clock, Instant } from '@figjunction/time';
import { StartRefusal, VmState } from '@figjunction/types';
import type { StartOrder } from '@figjunction/types';
import type { OrderExecution } from './order-execution.js';
import type { StartRequest, VmHost } from './vm-host.js';
import type { VmSession } from './vm-session.js';

/** The start of a run, which answers all sendings of its order that arrive meanwhile. */
export interface StartInProgress {
  /** The sending with the highest number. */
  order: StartOrder;
  execution: OrderExecution;
  /** From then on no call starts the run, unless its order is repeated. */
  validUntil: Instant;
  /** A call got no response; the VM may still carry it out. */
  hadUnansweredCall: boolean;
  /** The stop of the run has been ordered: no further call starts it, and what has become of it is told by the stop. */
  isWithdrawn: boolean;
}

export interface StartCallerOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
}

const START_TIMEOUT_MS = 1_200;
const RETRY_DELAY_MS = 50;

export class StartCaller {
  constructor(private readonly options: StartCallerOptions) {}

  /**
   * Returns null once the VM has confirmed the start, or why it is not called again. Each call follows the latest
   * sending of the order: the session of an earlier one may have ended since.
   */
  async call(latest: StartInProgress): Promise<StartRefusal | null> {
    const { clock, host } = this.options;
    const deadline: Instant = clock.now() + START_TIMEOUT_MS;
    while (clock.now() < deadline && !latest.isWithdrawn) {
      const request = this.createRequest(latest);
      if (typeof request === 'string') {
        return request;
      }
      const { session } = latest.execution;
      if (session.incarnation.isConfirmed) {
        try {
          return await host.start(request);
        } catch (error) {
          if (this.recordFailure(latest, session, toError(error)) === ErrorCode.Unavailable) {
            return StartRefusal.Unreachable;
          }
        }
      }
      await sleep(RETRY_DELAY_MS);
    }
    return StartRefusal.Unanswered;
  }

  /** Returns the refusal if the run must not start any more. */
  private createRequest({
    order,
    execution,
    validUntil,
  }: StartInProgress): StartRequest | StartRefusal {
    const { orders, session, isCurrent } = execution;
    const leaseUntilVmMs = session.lease.untilVmMs;
    const hasLease = leaseUntilVmMs !== null && !session.lease.isExpired;
    if (!hasLease || session.isStopped || !isCurrent()) {
      return StartRefusal.NoSession;
    }
    if (session.announcement.state === VmState.Draining) {
      return StartRefusal.VmDraining;
    }
    if (this.options.clock.now() >= validUntil) {
      return StartRefusal.OrderExpired;
    }
    const { taskId, run, checkpoint, ticket } = order;
    const { instanceId, epoch, payloads } = orders;
    const payload = payloads[taskId.slice(0, taskId.indexOf('.'))] ?? '';
    return { instanceId, epoch, taskId, run, payload, checkpoint, ticket, leaseUntilVmMs };
  }

  /** Returns the code of the error. Unless the call has not reached the VM, the run may have begun in this session. */
  private recordFailure(latest: StartInProgress, session: VmSession, error: Error): ErrorCode {
    const { taskId, run } = latest.order;
    const code = errorCodeOf(error);
    this.options.events.write('start-unanswered', { task: taskId, run, error: error.message });
    if (code !== ErrorCode.Unavailable) {
      Object.assign(latest, { hadUnansweredCall: true });
      session.incarnation.recordFailure();
      session.refreshInBackground();
    }
    return code;
  }
}
