/**
 * Composes heartbeats that carry only what an entry lacks. A section's version is the sequence of the
 * heartbeat that first showed its present content. Each entry has acknowledged one sequence, and is sent the
 * sections whose version is higher. The entry checks that it holds the acknowledged state, so a wrong or late
 * acknowledgement costs a full heartbeat and never a wrong state.
 */
import { HeartbeatReception, NO_BASE } from '@figjunction/types';
import type {
  AgentIncarnation,
  HeartbeatCore,
  HeartbeatParameters,
  HeartbeatSection,
  HeartbeatSections,
} from '@figjunction/types';

interface VersionedSection {
  /** Sequence of the first heartbeat with this content. */
  version: number;
  text: string;
}

/** What the agent says at one moment; the composer adds the sequence. */
export interface HeartbeatContent {
  core: Omit<HeartbeatCore, 'sequence'>;
  sections: HeartbeatSections;
}

export class HeartbeatComposer {
  private sequence = 0;

  private incarnation: AgentIncarnation = 0;

  private readonly versions = new Map<HeartbeatSection, VersionedSection>();

  /** Highest sequence that the entry at an address acknowledged, of the present incarnation. */
  private readonly acknowledged = new Map<string, number>();

  private content: HeartbeatContent | null = null;

  /** Takes the agent's present state; heartbeats carry it until the next call. */
  update(content: HeartbeatContent): void {
    this.sequence += 1;
    if (content.core.incarnation !== this.incarnation) {
      this.incarnation = content.core.incarnation;
      this.acknowledged.clear();
    }
    for (const section of Object.keys(content.sections) as HeartbeatSection[]) {
      const text = JSON.stringify(content.sections[section]);
      if (this.versions.get(section)?.text !== text) {
        this.versions.set(section, { version: this.sequence, text });
      }
    }
    this.content = content;
  }

  /** The heartbeat for one entry. */
  compose(address: string, entriesVersion: string): HeartbeatParameters {
    if (this.content === null) {
      throw new Error('a heartbeat was composed before the first update');
    }
    const { core, sections } = this.content;
    const base = this.acknowledged.get(address) ?? NO_BASE;
    const changed = Object.entries(sections).filter(
      ([section]) => (this.versions.get(section as HeartbeatSection)?.version ?? 0) > base,
    );
    return {
      ...core,
      sequence: this.sequence,
      base,
      sections: Object.fromEntries(changed),
      entriesVersion,
    };
  }

  /** Notes what the entry at the address did with a heartbeat. */
  noteReception(
    address: string,
    heartbeat: HeartbeatParameters,
    reception: HeartbeatReception,
  ): void {
    if (reception === HeartbeatReception.NeedsFull) {
      this.acknowledged.delete(address);
      return;
    }
    // Before the lease is acquired, two processes of one agent id may both have incarnation 0 and the same
    // sequences, so an entry could take a part of one for the other's. Nothing counts as acknowledged then.
    const isOwn = heartbeat.incarnation === this.incarnation && heartbeat.incarnation > 0;
    if (isOwn && reception === HeartbeatReception.Taken) {
      const before = this.acknowledged.get(address) ?? NO_BASE;
      this.acknowledged.set(address, Math.max(before, heartbeat.sequence));
    }
  }

  /** Forgets what entries at other addresses acknowledged. */
  retain(addresses: readonly string[]): void {
    for (const address of this.acknowledged.keys()) {
      if (!addresses.includes(address)) {
        this.acknowledged.delete(address);
      }
    }
  }
}
