/**
 * Describes the agent's state for heartbeats.
 */
import { AgentState } from '@figjunction/types';
import type { InstanceReport } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import type { InstanceEntry } from '../instance-table.js';
import type { HeartbeatContent } from './heartbeat-composer.js';
import { SteadyInstances } from './instance-change-filter.js';
import { SteadyUsage } from './usage-change-filter.js';

export class HeartbeatDescriber {
  private readonly steadyInstances = new SteadyInstances();

  private readonly steadyUsage = new SteadyUsage();

  constructor(private readonly context: AgentContext) {}

  describe(): HeartbeatContent {
    const { context } = this;
    const { room, settings } = context;
    const now = context.clock.now();
    room.announcedFree = room.free;
    const instances = context.instances
      .all()
      .map((instance) => describeInstance(context, instance));
    return {
      core: {
        agentId: settings.agentId,
        incarnation: context.incarnation,
        state: context.state,
        revision: context.configuration.revision(),
        confirmed: context.configuration.isConfirmed(now),
      },
      sections: {
        place: { address: context.address, location: settings.location, capacity: room.capacity },
        // Exact in every heartbeat: an entry takes its reservations made before a heartbeat as part of
        // the free room that the heartbeat states.
        room: { free: room.free, wantsWork: room.wantsWork },
        tasks: room.heldTasks,
        instances: this.steadyInstances.select(instances, now),
        usage: this.steadyUsage.select(room.usage, room.capacity, now),
      },
    };
  }
}

function describeInstance(context: AgentContext, instance: InstanceEntry): InstanceReport {
  const takesWork = context.state === AgentState.Serving && !instance.draining;
  return {
    taskId: instance.taskId,
    service: instance.service,
    attempt: instance.attempt,
    slots: instance.slots,
    slotsUsed: instance.slotsUsed,
    connections: instance.connections,
    connectionsUsed: instance.connectionsUsed,
    ready: takesWork && instance.targetAddress !== null,
  };
}
