/**
 * Assembles the task systems of an entry into a daemon module.
 */
import { FailureHistory } from '@figjunction/decisions';
import { WriteBatcher } from '@figjunction/store';
import type { RpcHandlers } from '@figjunction/rpc';
import { sleep } from '@figjunction/time';
import type { Instant, TickSystem } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { EntryContext } from '../entry-context.js';
import { AgentOrders } from './agent-orders.js';
import { HoldSystem } from './hold-system.js';
import { InstanceReconciler } from './instance-reconciler.js';
import { InstanceStarts } from './instance-starts.js';
import { createJobRoutes } from './job-routes.js';
import { LeaseRecovery } from './lease-recovery.js';
import { LeaseRenewal } from './lease-renewal.js';
import { LeaseTracker } from './lease-tracker.js';
import { OrderRepair } from './order-repair.js';
import { PlacementSystem } from './placement-system.js';
import { ProposalBook } from './proposal-book.js';
import { RefusalMemory } from './refusal-memory.js';
import { ReservationTable } from './reservation-table.js';
import { routeReports } from './report-forwarding.js';
import { RetentionSweep } from './retention.js';
import { ShardLoader } from './shard-loader.js';
import type { TaskContext } from './task-context.js';
import { setTaskGauges } from './task-gauges.js';
import { TaskLearning } from './task-learning.js';
import { TaskStore, TaskWriteKind } from './task-store.js';
import { TaskTable } from './task-table.js';

const STOP_POLL_MS = 50;
const PLACEMENT_INTERVAL_MS = 100;
const LEASE_SCAN_INTERVAL_MS = 2_000;
const REQUEUE_INTERVAL_MS = 200;
const INSTANCE_INTERVAL_MS = 500;
const REPAIR_INTERVAL_MS = 500;
/** Adds to the delay of measurements; a run is cheap, as it learns only from heartbeats since the last run. */
const LEARN_INTERVAL_MS = 200;
const HOLD_INTERVAL_MS = 1_000;
const RETENTION_INTERVAL_MS = 10_000;
const GAUGE_INTERVAL_MS = 100;

/** The module and the context that its systems share. */
export interface TaskParts {
  context: TaskContext;
  module: DaemonModule;
}

export function createTaskParts(entry: EntryContext): TaskParts {
  const { table, clock, random, peers, agents, rpc, metrics } = entry;
  const createWriter = (): WriteBatcher => new WriteBatcher({ table, clock, random });
  const leaseWriter = createWriter();
  const writers = {
    [TaskWriteKind.Submission]: createWriter(),
    [TaskWriteKind.Claim]: createWriter(),
    [TaskWriteKind.Report]: createWriter(),
    [TaskWriteKind.Cancel]: createWriter(),
    [TaskWriteKind.Recovery]: createWriter(),
  };
  const rows = new TaskTable();
  const context: TaskContext = {
    entry,
    store: new TaskStore({ table, writers, rows, clock, metrics }),
    leaseWriter,
    shards: new ShardLoader({
      table,
      rows,
      clock,
      random,
      ownsShard: (shard) => peers.ownsShard(shard),
    }),
    orders: new AgentOrders({ rpc, agents, metrics }),
    reservations: new ReservationTable(),
    leases: new LeaseTracker(),
    failures: new FailureHistory(),
    instanceStarts: new InstanceStarts(),
    refusals: new RefusalMemory(),
    startedAt: clock.now(),
    isStopping: false,
  };
  const allWriters = [...Object.values(writers), leaseWriter];
  const module: DaemonModule = {
    routes: createJobRoutes(context),
    rpcHandlers: createHandlers(context),
    systems: [
      ...Object.entries({ ...writers, lease: leaseWriter }).map(([kind, writer]) => ({
        name: `write-${kind}`,
        intervalMs: 0,
        run: (now: Instant) => writer.flush(now),
      })),
      ...createSystems(context),
    ],
    async stop(): Promise<void> {
      context.isStopping = true;
      // The tick loop still flushes the writers; the daemon limits the time for this.
      while (allWriters.some(({ pendingCount: pending }) => pending > 0)) {
        await sleep(STOP_POLL_MS);
      }
    },
  };
  return { context, module };
}

function createHandlers(context: TaskContext): RpcHandlers {
  const renewal = new LeaseRenewal(context);
  return {
    [RpcMethod.LeaseRenew]: (parameters) => renewal.renew(parameters),
    [RpcMethod.TaskReport]: (parameters, call) => routeReports(context, parameters, call),
    [RpcMethod.EntryNotify]: ({ shards }) => {
      context.shards.notify(shards);
      return {};
    },
  };
}

function createSystems(context: TaskContext): TickSystem[] {
  const proposals = new ProposalBook(context);
  const recovery = new LeaseRecovery(context);
  const instances = new InstanceReconciler(context);
  const repair = new OrderRepair(context);
  const learning = new TaskLearning(context.entry);
  const holds = new HoldSystem(context, learning);
  const retention = new RetentionSweep(context);
  const placement = new PlacementSystem({
    context,
    proposals,
    estimates: learning,
    interference: (task, vm) => learning.predictAddedSlowdown(task, vm),
  });
  return [
    { name: 'load-shards', intervalMs: 0, run: (now) => context.shards.run(now) },
    { name: 'scan-leases', intervalMs: LEASE_SCAN_INTERVAL_MS, run: () => recovery.scan() },
    { name: 'requeue', intervalMs: REQUEUE_INTERVAL_MS, run: (now) => recovery.requeue(now) },
    { name: 'instances', intervalMs: INSTANCE_INTERVAL_MS, run: (now) => instances.run(now) },
    { name: 'learn', intervalMs: LEARN_INTERVAL_MS, run: () => learning.run() },
    { name: 'hold', intervalMs: HOLD_INTERVAL_MS, run: (now) => holds.run(now) },
    { name: 'proposals', intervalMs: HOLD_INTERVAL_MS, run: (now) => proposals.run(now) },
    { name: 'place', intervalMs: PLACEMENT_INTERVAL_MS, run: (now) => placement.run(now) },
    { name: 'repair-orders', intervalMs: REPAIR_INTERVAL_MS, run: (now) => repair.run(now) },
    { name: 'retention', intervalMs: RETENTION_INTERVAL_MS, run: (now) => retention.run(now) },
    { name: 'gauges', intervalMs: GAUGE_INTERVAL_MS, run: () => setTaskGauges(context) },
    { name: 'send-orders', intervalMs: 0, run: () => context.orders.flush() },
  ];
}
