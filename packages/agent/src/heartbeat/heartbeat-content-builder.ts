/**
 * Builds the content of heartbeats from the agent's state.
 */
import { AgentState } from '@figjunction/types';
import type { InstanceReport } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import type { InstanceEntry } from '../instance-table.js';
import type { HeartbeatContent } from './heartbeat-composer.js';
import { InstanceChangeFilter } from './instance-change-filter.js';
import { UsageChangeFilter } from './usage-change-filter.js';

export class HeartbeatContentBuilder {
  private readonly instanceFilter = new InstanceChangeFilter();

  private readonly usageFilter = new UsageChangeFilter();

  constructor(private readonly context: AgentContext) {}

  build(): HeartbeatContent {
    const { context } = this;
    const { capacityReport: room, settings } = context;
    const now = context.clock.now();
    room.announcedFree = room.free;
    const instances = context.instances
      .all()
      .map((instance) => buildInstanceReport(context, instance));
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
        // Not filtered: an entry assumes that the free capacity in a heartbeat already accounts
        // for the reservations that it made before the heartbeat.
        room: { free: room.free, wantsWork: room.wantsWork },
        tasks: room.heldTasks,
        instances: this.instanceFilter.select(instances, now),
        usage: this.usageFilter.select(room.usage, room.capacity, now),
      },
    };
  }
}

function buildInstanceReport(context: AgentContext, instance: InstanceEntry): InstanceReport {
  const acceptsWork = context.state === AgentState.Serving && !instance.draining;
  return {
    taskId: instance.taskId,
    service: instance.service,
    attempt: instance.attempt,
    slots: instance.slots,
    slotsUsed: instance.slotsUsed,
    connections: instance.connections,
    connectionsUsed: instance.connectionsUsed,
    ready: acceptsWork && instance.targetAddress !== null,
  };
}
