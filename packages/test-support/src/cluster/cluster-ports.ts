/**
 * The ports on which the daemons of a cluster listen, known before they start.
 */
import { reservePort } from '../harness/free-port.js';
import type { PortReservation } from '../harness/free-port.js';
import { HarnessError } from '../harness/wait-until.js';

export class ClusterPorts {
  private constructor(
    private readonly entries: PortReservation[],
    private readonly agents: PortReservation[],
  ) {}

  static async reserve(entries: number, agents: number): Promise<ClusterPorts> {
    const ports = await Promise.all(range(entries + agents).map(() => reservePort()));
    return new ClusterPorts(ports.slice(0, entries), ports.slice(entries));
  }

  get entryAddresses(): string[] {
    return this.entries.map(addressOf);
  }

  get agentAddresses(): string[] {
    return this.agents.map(addressOf);
  }

  /** Frees the port of an entry for its process; further calls only return it. */
  async releaseEntry(index: number): Promise<number> {
    return releasePort(pick(this.entries, index, 'entry'));
  }

  async releaseAgent(index: number): Promise<number> {
    return releasePort(pick(this.agents, index, 'agent'));
  }

  async releaseAll(): Promise<void> {
    await Promise.all([...this.entries, ...this.agents].map(releasePort));
  }
}

export function range(length: number): number[] {
  return Array.from({ length }, (_value, index) => index);
}

export function pick<Item>(items: Item[], index: number, name: string): Item {
  const item = items[index];
  if (item === undefined) {
    throw new HarnessError(`there is no ${name} with index ${index}`);
  }
  return item;
}

async function releasePort(reservation: PortReservation): Promise<number> {
  await reservation.release();
  return reservation.port;
}

function addressOf({ port }: PortReservation): string {
  return `http://127.0.0.1:${port}`;
}
