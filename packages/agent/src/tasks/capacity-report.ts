/**
 * Updates the free capacity and the tasks that the heartbeat reports.
 */
import { AgentState } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import type { CapacityReport } from '../agent-context.js';
import { computeFreeCapacity } from './task-loads.js';
import { TaskPhase } from './task-table.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

/** Growth of at least this share of the capacity is announced at once; less may be measurement noise. */
const ANNOUNCED_GROWTH_SHARE = 0.02;

export function updateCapacityReport(runtime: TaskRuntime): void {
  const { context, tasks } = runtime;
  const { capacityReport: room } = context;
  room.free = computeFreeCapacity(runtime);
  // Reservations are left out: for a claimed task that is not listed, the owner resends the start order.
  room.heldTasks = tasks
    .all()
    .filter((entry) => entry.phase !== TaskPhase.Reserved)
    .map(({ taskId, attempt }) => ({ taskId, attempt }));
  room.wantsWork =
    context.state === AgentState.Serving &&
    holdsLease(context) &&
    room.free.processorMillicores > 0 &&
    room.free.memoryMegabytes > 0;
  if (hasFreeCapacityGrown(room)) {
    context.isHeartbeatDue = true;
  }
}

/** Whether entries were told of less free capacity than there is, so they hold back work that would fit. */
function hasFreeCapacityGrown({ capacity, free, announcedFree }: CapacityReport): boolean {
  return (Object.keys(free) as (keyof Resources)[]).some((name) => {
    const growth = free[name] - announcedFree[name];
    return growth > 0 && growth >= capacity[name] * ANNOUNCED_GROWTH_SHARE;
  });
}
