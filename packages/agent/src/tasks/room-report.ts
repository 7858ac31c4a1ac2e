/**
 * Keeps what the heartbeat tells of room and tasks up to date.
 */
import { AgentState } from '@figjunction/types';
import { freeOf } from './room-loads.js';
import { TaskPhase } from './task-table.js';
import { holdsLease } from './task-runtime.js';
import type { TaskRuntime } from './task-runtime.js';

export function updateRoomReport(runtime: TaskRuntime): void {
  const { context, tasks } = runtime;
  const { room } = context;
  room.free = freeOf(runtime);
  // Reservations are left out: the owner sends the start again for a claimed task that is not listed.
  room.heldTasks = tasks
    .all()
    .filter((entry) => entry.phase !== TaskPhase.Reserved)
    .map(({ taskId, attempt }) => ({ taskId, attempt }));
  room.wantsWork =
    context.state === AgentState.Serving &&
    holdsLease(context) &&
    room.free.processorMillicores > 0 &&
    room.free.memoryMegabytes > 0;
}
