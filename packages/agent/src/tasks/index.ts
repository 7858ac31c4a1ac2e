/**
 * The task module of the agent: registers the systems that hold the agent's lease and admit, start, watch
 * and stop the tasks on the worker of this VM.
 */
import { toError } from '@figjunction/errors';
import { sleep } from '@figjunction/time';
import { AgentState, RpcMethod, TaskType } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { AgentContext } from '../agent-context.js';
import { dropExpiredReservations, reserveTasks } from './admission.js';
import { LeaseClient } from './lease-client.js';
import { OverloadControl } from './overload-control.js';
import { updateCapacityReport } from './capacity-report.js';
import { createBackgroundSystem } from './background-system.js';
import { recordStopOrders, executeStopOrders, orderStop } from './stop-orders.js';
import { adoptTasks } from './task-adopter.js';
import { getTaskRuntime } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';
import { resumeStarts, startTasks } from './task-starter.js';
import { TaskPhase } from './task-table.js';
import { controlThrottles } from './throttle-control.js';
import { UsagePoller } from './usage-poller.js';
import { extendBatchLeases, extendInstanceLeases } from './worker-leases.js';
import { addUnadoptedTask, pollWorker } from './worker-poller.js';

const TICK_INTERVAL_MS = 50;
/** Adds to the time until the capacity of an ended task is used again. */
const POLL_INTERVAL_MS = 100;
/** Adds to the lag of measurements; until measured, a task of unknown size reserves its worst case. */
const USAGE_INTERVAL_MS = 250;
const INSTANCE_LEASE_INTERVAL_MS = 1_000;
const RESUME_INTERVAL_MS = 500;
const CONTROL_INTERVAL_MS = 200;

/** How long a planned stop waits until the pending reports are acknowledged. */
const FINAL_REPORTS_TIMEOUT_MS = 2_000;

const WAITING_FOR_WORKER = 'worker';

export function createTaskModule(context: AgentContext): DaemonModule {
  const runtime = getTaskRuntime(context);
  const usage = new UsagePoller(runtime);
  const overload = new OverloadControl(runtime);
  let isWorkerLoaded = false;
  context.waitingFor.add(WAITING_FOR_WORKER);

  /** Adds all tasks on the worker to the table before the agent acquires its lease or admits work. */
  async function loadWorkerState(): Promise<void> {
    if (isWorkerLoaded) {
      return;
    }
    const { capacity } = await context.worker.describe();
    const tasks = await context.worker.listTasks();
    for (const task of tasks) {
      addUnadoptedTask(runtime, task);
    }
    context.capacityReport.capacity = capacity;
    isWorkerLoaded = true;
    context.waitingFor.delete(WAITING_FOR_WORKER);
    context.logger.info({ tasks: tasks.length }, 'worker found');
  }

  const lease = new LeaseClient(context, {
    onAcquired: () => {
      if (context.state === AgentState.Starting) {
        context.state = AgentState.Serving;
      }
      runInBackground(context, extendAllLeases(runtime));
    },
    onRenewed: () => runInBackground(context, extendBatchLeases(runtime)),
    onLost: () => handleLeaseLoss(runtime),
  });

  /** Creates a background system that does nothing until the state of the worker is loaded. */
  const createWorkerSystem = (name: string, intervalMs: number, work: () => Promise<void>) =>
    createBackgroundSystem(context, name, intervalMs, async () => {
      if (isWorkerLoaded) {
        await work();
      }
    });

  return {
    rpcHandlers: {
      [RpcMethod.TaskReserve]: (parameters) => reserveTasks(runtime, parameters),
      [RpcMethod.TaskStart]: (parameters) => {
        runInBackground(context, startTasks(runtime, parameters));
        return {};
      },
      [RpcMethod.TaskStop]: (parameters) => {
        recordStopOrders(runtime, parameters);
        return {};
      },
    },
    systems: [
      createBackgroundSystem(context, 'learn-worker', POLL_INTERVAL_MS, loadWorkerState),
      createWorkerSystem('lease', TICK_INTERVAL_MS, () =>
        lease.acquireOrRenew(context.clock.now()),
      ),
      createWorkerSystem('adopt', RESUME_INTERVAL_MS, () => adoptTasks(runtime)),
      {
        name: 'reservations',
        intervalMs: TICK_INTERVAL_MS,
        run: () => dropExpiredReservations(runtime),
      },
      createWorkerSystem('resume-starts', RESUME_INTERVAL_MS, () => resumeStarts(runtime)),
      createWorkerSystem('stop-orders', TICK_INTERVAL_MS, () => executeStopOrders(runtime)),
      createWorkerSystem('instance-leases', INSTANCE_LEASE_INTERVAL_MS, () =>
        extendInstanceLeases(runtime),
      ),
      createWorkerSystem('poll-worker', POLL_INTERVAL_MS, () => pollWorker(runtime)),
      createWorkerSystem('usage', USAGE_INTERVAL_MS, () => usage.poll()),
      { name: 'overload', intervalMs: CONTROL_INTERVAL_MS, run: () => overload.run() },
      createWorkerSystem('throttles', CONTROL_INTERVAL_MS, () => controlThrottles(runtime)),
      createBackgroundSystem(context, 'reports', TICK_INTERVAL_MS, () => runtime.reports.send()),
      { name: 'room', intervalMs: TICK_INTERVAL_MS, run: () => updateCapacityReport(runtime) },
    ],
    stop: () => waitForPendingReports(runtime),
  };
}

async function extendAllLeases(runtime: TaskRuntime): Promise<void> {
  await extendBatchLeases(runtime);
  await extendInstanceLeases(runtime);
}

function runInBackground(context: AgentContext, work: Promise<void>): void {
  work.catch((error: unknown) => {
    context.logger.debug({ error: toError(error).message }, 'background work failed');
  });
}

/**
 * Once the lease is fenced, batch runs may already execute on another VM: they are stopped and not reported.
 * Instances keep running until the adopter has tried to move their rows to the next incarnation.
 */
function handleLeaseLoss(runtime: TaskRuntime): void {
  for (const entry of runtime.tasks.all()) {
    if (entry.phase === TaskPhase.Reserved || entry.phase === TaskPhase.Starting) {
      runtime.tasks.remove(entry);
    } else if (entry.phase === TaskPhase.Running && entry.type === TaskType.Instance) {
      entry.phase = TaskPhase.Unadopted;
    } else if (entry.phase === TaskPhase.Running) {
      orderStop(runtime, entry, { checkpoint: false, reason: 'the agent lost its lease' });
    }
  }
}

/**
 * A planned stop that does not drain the VM leaves the tasks on the worker. The next incarnation adopts them
 * before the lease expires, so no work is lost and no checkpoint or restart is needed. The lease is renewed
 * until the process exits, because requests in progress may take longer than a lease.
 */
async function waitForPendingReports(runtime: TaskRuntime): Promise<void> {
  const { context, reports } = runtime;
  const deadline = context.clock.now() + FINAL_REPORTS_TIMEOUT_MS;
  while (reports.size() > 0 && context.clock.now() < deadline) {
    await sleep(TICK_INTERVAL_MS);
  }
}
