/**
 * Stops runs on the VM. A stop is called until the VM responds, since the VM may have carried out none of the calls
 * without a response, and refuses a start of the run that arrives later only once it has carried out one.
 */
import { toError } from '@figjunction/errors';
import { Outage } from '@figjunction/logger';
import type { EventLog } from '@figjunction/logger';
import { sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { StartRefusal } from '@figjunction/types';
import type { RunReference } from '@figjunction/types';
import type { OrderExecution } from './order-execution.js';
import { StopOutcome } from './vm-host.js';
import type { VmHost } from './vm-host.js';

export interface RunStopperOptions {
  host: VmHost;
  clock: Pick<Clock, 'now'>;
  events: EventLog;
}

const RETRY_DELAY_MS = 50;

export class RunStopper {
  constructor(private readonly options: RunStopperOptions) {}

  /**
   * Returns true once the run is neither on the VM nor in its list of ends and no earlier call can start it any
   * more. Otherwise the outcome stays unknown: the VM's list shows it, or the scheduler repeats the order.
   */
  async ruleOut(
    reference: RunReference,
    refusal: StartRefusal,
    execution: OrderExecution,
  ): Promise<boolean> {
    const { session } = execution;
    try {
      // The VM itself rules out later starts of a superseded run.
      const canStillStart = refusal !== StartRefusal.Superseded;
      if (canStillStart && !(await this.stop(reference, execution))) {
        return false;
      }
      return (await session.refresh()) && !session.runs.isListed(reference);
    } catch (error) {
      const { taskId, run } = reference;
      const fields = { task: taskId, run, error: toError(error).message };
      this.options.events.write('end-not-confirmed', fields);
      return false;
    }
  }

  /**
   * Retries until the VM responds, its session stops or its lease has expired, which ends all its runs. Returns
   * true if the VM has carried out the stop. Logs the first call without a response, and the response.
   */
  async stop({ taskId, run }: RunReference, { orders, session }: OrderExecution): Promise<boolean> {
    const { instanceId, epoch } = orders;
    const { host, clock, events } = this.options;
    const outage = new Outage();
    const requestedAt = clock.now();
    for (let calls = 1; !session.isStopped && !session.lease.isExpired; calls += 1) {
      try {
        const outcome = await host.stop({ instanceId, epoch, taskId, run });
        session.wake();
        const tookMs = Math.round(clock.now() - requestedAt);
        events.write('stop-answered', { task: taskId, run, epoch, outcome, calls, tookMs });
        return outcome === StopOutcome.Stopped;
      } catch (error) {
        const fields = { task: taskId, run, error: toError(error).message };
        outage.begin(() => events.write('stop-unanswered', fields));
        await sleep(RETRY_DELAY_MS);
      }
    }
    return false;
  }
}
