/**
 * `figjunction status`: the known processes, what they have in force and what they wait for.
 */
import type { CommandModule } from 'yargs';
import type { Resources } from '@figjunction/types';
import { connect, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { requestStatus } from '../entry-requests.js';
import type { AgentStatus, EntryStatus, StatusAnswer } from '../entry-requests.js';
import { formatAbsent } from '../rollout.js';
import { formatTable } from '../table.js';

const MILLICORES_PER_CORE = 1_000;
const MEGABYTES_PER_GIGABYTE = 1_024;

export function createStatusCommand(
  context: ClientContext,
): CommandModule<CommonFlags, CommonFlags> {
  return {
    command: 'status',
    describe: 'show entries and agents, their revision, room and what they wait for',
    builder: (command) => command.example('$0 status', 'see whether all have the same revision'),
    async handler(flags): Promise<void> {
      const status = await requestStatus(connect(context, flags));
      show(context, flags, status, () => formatStatus(status));
    },
  };
}

function formatStatus(status: StatusAnswer): string {
  return [
    `newest revision: ${status.revision} (answered by ${status.answeredBy})`,
    '',
    formatTable(
      ['entry', 'data centre', 'address', 'revision', 'confirmed', 'waits for'],
      status.entries.map(describeEntry),
    ),
    '',
    formatTable(
      [
        'vm',
        'data centre',
        'rack',
        'state',
        'revision',
        'confirmed',
        'free cores',
        'free GB',
        'instances',
        'tasks',
      ],
      status.agents.map(describeAgent),
      'no agent has announced itself',
    ),
    ...status.absent.map(formatAbsent),
  ].join('\n');
}

function describeEntry(entry: EntryStatus): string[] {
  return [
    entry.entryId,
    entry.location.dataCentre,
    entry.address,
    entry.revision === null ? '?' : String(entry.revision),
    yesOrNo(entry.confirmed),
    entry.waitingFor.join(', '),
  ];
}

function describeAgent(agent: AgentStatus): string[] {
  const { capacity, free } = agent;
  return [
    agent.agentId,
    agent.location.dataCentre,
    agent.location.rack,
    agent.state,
    String(agent.revision),
    yesOrNo(agent.confirmed),
    ofTotal(free, capacity, 'processorMillicores', MILLICORES_PER_CORE),
    ofTotal(free, capacity, 'memoryMegabytes', MEGABYTES_PER_GIGABYTE),
    agent.instances.map(describeInstance).join(' '),
    String(agent.tasksHeld),
  ];
}

function describeInstance(instance: AgentStatus['instances'][number]): string {
  const { service, slotsUsed, slots, ready } = instance;
  return ready ? `${service}:${slotsUsed}/${slots}` : `${service}:not-ready`;
}

function ofTotal(
  free: Resources,
  capacity: Resources,
  field: keyof Resources,
  unit: number,
): string {
  const [used, total] = [free[field], capacity[field]].map((value) => (value / unit).toFixed(1));
  return `${used} of ${total}`;
}

function yesOrNo(value: boolean): string {
  return value ? 'yes' : 'no';
}
