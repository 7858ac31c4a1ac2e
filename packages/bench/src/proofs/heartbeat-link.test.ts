/**
 * One agent and one entry that exchange heartbeats over a link held in memory: the real composer and the real
 * directory. Messages are delivered in any order, more than once or never. After each delivery the state held
 * by the entry must be one that the agent sent.
 */
import assert from 'node:assert/strict';
import { HeartbeatComposer } from '@figjunction/agent';
import type { HeartbeatContent } from '@figjunction/agent';
import { AgentDirectory } from '@figjunction/entry';
import { AgentState } from '@figjunction/types';
import type {
  AgentReport,
  HeartbeatParameters,
  HeartbeatReception,
  HeartbeatSection,
  Resources,
} from '@figjunction/types';

export const AGENT_ID = 'vm-1';
export const ENTRY = 'http://127.0.0.1:1';
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' };
export const SECTIONS: HeartbeatSection[] = ['place', 'room', 'tasks', 'instances', 'usage'];

/** Every section shows its own number, so that a mixture of two states is visible. */
export type Numbers = Record<HeartbeatSection, number>;

export function contentOf(incarnation: number, numbers: Numbers): HeartbeatContent {
  const resources = (processorMillicores: number): Resources => ({
    processorMillicores,
    memoryMegabytes: 0,
    accelerators: 0,
  });
  const instance = { taskId: 'i', service: 'labels', slots: 8, slotsUsed: 0, connections: 64 };
  return {
    core: {
      agentId: AGENT_ID,
      incarnation,
      state: AgentState.Serving,
      revision: 1,
      confirmed: true,
    },
    sections: {
      place: {
        address: 'http://127.0.0.1:2',
        location: LOCATION,
        capacity: resources(numbers.place),
      },
      room: { free: resources(numbers.room), wantsWork: false },
      tasks: [{ taskId: 't', attempt: numbers.tasks }],
      instances: [{ ...instance, attempt: numbers.instances, connectionsUsed: 0, ready: true }],
      usage: [{ taskId: 't', kind: 'reprint', used: resources(numbers.usage), slowdown: null }],
    },
  };
}

function wholeOf({ core, sections }: HeartbeatContent, sequence: number): AgentReport {
  const { place, room, tasks, instances, usage } = sections;
  return { ...core, sequence, ...place, ...room, tasks, instances, usage };
}

/** Without the clock of the entry. */
function heldBy(directory: AgentDirectory): AgentReport | null {
  const known = directory.get(AGENT_ID);
  if (known === undefined) {
    return null;
  }
  const { lastHeartbeatAt: lastHeard, ...report } = known;
  assert.equal(typeof lastHeard, 'number');
  return report;
}

interface Answer {
  composer: HeartbeatComposer;
  heartbeat: HeartbeatParameters;
  reception: HeartbeatReception;
}

export class Exchange {
  directory = new AgentDirectory();

  private composer = new HeartbeatComposer();

  /** Messages on their way; any of them may be delivered next, again, or never. */
  private readonly heartbeats: { composer: HeartbeatComposer; heartbeat: HeartbeatParameters }[] =
    [];

  private readonly answers: Answer[] = [];

  private readonly numbers: Numbers = { place: 0, room: 0, tasks: 0, instances: 0, usage: 0 };

  /** Every state the agent sent, by process and sequence. */
  private readonly sent: AgentReport[] = [];

  private count = 0;

  constructor(private incarnation: number) {}

  change(section: HeartbeatSection): void {
    this.count += 1;
    this.numbers[section] = this.count;
  }

  announce(): void {
    const content = contentOf(this.incarnation, this.numbers);
    this.composer.update(content);
    const heartbeat = structuredClone(this.composer.compose(ENTRY, ''));
    this.sent.push(wholeOf(content, heartbeat.sequence));
    this.heartbeats.push({ composer: this.composer, heartbeat });
  }

  /** Delivers one of the heartbeats; a kept one arrives again later. */
  deliver(choice: number, keep: boolean): HeartbeatReception | null {
    const message = pick(this.heartbeats, choice, keep);
    if (message === null) {
      return null;
    }
    const reception = this.directory.receive(message.heartbeat, 0);
    this.answers.push({ ...message, reception });
    this.checkHeldState();
    return reception;
  }

  /** Answers of an ended agent process reach nobody. */
  answer(choice: number, keep: boolean): void {
    const answer = pick(this.answers, choice, keep);
    if (answer !== null && answer.composer === this.composer) {
      this.composer.recordReception(ENTRY, answer.heartbeat, answer.reception);
    }
  }

  /** A round without a fault; the heartbeat stays on the link and may arrive again. */
  round(): HeartbeatReception | null {
    this.announce();
    const reception = this.deliver(this.heartbeats.length - 1, true);
    this.answer(this.answers.length - 1, false);
    return reception;
  }

  lose(choice: number): void {
    pick(this.heartbeats, choice, false);
    pick(this.answers, choice, false);
  }

  restartEntry(): void {
    this.directory = new AgentDirectory();
  }

  /** The new process announces itself before it holds the lease, and may end before it gets one. */
  restartAgent(getsLease: boolean): void {
    this.composer = new HeartbeatComposer();
    const lastIncarnation = Math.max(0, ...this.sent.map(({ incarnation }) => incarnation));
    this.incarnation = getsLease ? lastIncarnation + 1 : 0;
  }

  /** The process goes on with a new incarnation, after its lease was fenced. */
  takeIncarnation(): void {
    this.incarnation = 1 + Math.max(0, ...this.sent.map(({ incarnation }) => incarnation));
  }

  /** Undisturbed exchanges, as the announcer does them. */
  settle(): void {
    if (this.incarnation === 0) {
      this.takeIncarnation();
    }
    this.heartbeats.length = 0;
    this.round();
    this.round();
    assert.deepEqual(heldBy(this.directory), this.sent[this.sent.length - 1]);
  }

  private checkHeldState(): void {
    const held = heldBy(this.directory);
    const matching = this.sent.filter(
      (state) => held?.incarnation === state.incarnation && held.sequence === state.sequence,
    );
    if (held !== null) {
      const texts = matching.map((state) => JSON.stringify(sorted(state)));
      assert.ok(texts.includes(JSON.stringify(sorted(held))), 'the agent never had this state');
    }
  }
}

function sorted(state: AgentReport): [string, unknown][] {
  return Object.entries(state).sort(([left], [right]) => (left < right ? -1 : 1));
}

function pick<Item>(items: Item[], choice: number, keep: boolean): Item | null {
  if (items.length === 0) {
    return null;
  }
  const index = choice % items.length;
  const item = items[index] ?? null;
  if (!keep) {
    items.splice(index, 1);
  }
  return item;
}
