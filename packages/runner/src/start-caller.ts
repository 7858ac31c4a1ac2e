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
import type { VmHost } from './vm-host.js';

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
    const deadline: Instant = this.options.clock.now() + START_TIMEOUT_MS;
    while (this.options.clock.now() < deadline && !latest.isWithdrawn) {
      const { orders, session, isCurrent } = latest.execution;
      const { taskId, run, checkpoint, ticket } = latest.order;
      const { instanceId, epoch } = orders;
      const payload = orders.payloads[taskId.slice(0, taskId.indexOf('.'))] ?? '';
      const leaseUntilVmMs = session.lease.untilVmMs;
      if (leaseUntilVmMs === null || session.isStopped || !isCurrent()) {
        return StartRefusal.NoSession;
      }
      if (session.announcement.state === VmState.Draining) {
        return StartRefusal.VmDraining;
      }
      if (this.options.clock.now() >= latest.validUntil) {
        return StartRefusal.OrderExpired;
      }
      if (!session.incarnation.isConfirmed) {
        await sleep(RETRY_DELAY_MS);
        continue;
      }
      try {
        const request = { instanceId, epoch, taskId, run, payload, checkpoint, ticket };
        return await this.options.host.start({ ...request, leaseUntilVmMs });
      } catch (error) {
        const fields = { task: taskId, run, error: toError(error).message };
        this.options.events.write('start-unanswered', fields);
        if (errorCodeOf(error) === ErrorCode.Unavailable) {
          return StartRefusal.Unreachable;
        }
        Object.assign(latest, { hadUnansweredCall: true });
        session.incarnation.recordFailure();
        session.refreshInBackground();
        await sleep(RETRY_DELAY_MS);
      }
    }
    return StartRefusal.Unanswered;
  }
}
