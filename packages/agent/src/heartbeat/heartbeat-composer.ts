/**
 * Composes heartbeats that carry only the sections that an entry does not have yet. The version of a section
 * is the sequence of the first heartbeat with its current content. For each entry, the highest acknowledged
 * sequence is kept, and only sections with a higher version are sent. The entry checks that it holds the
 * acknowledged state, so a wrong or late acknowledgement causes a full heartbeat and never a wrong state.
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

/** The agent's state at one moment; the composer adds the sequence. */
export interface HeartbeatContent {
  core: Omit<HeartbeatCore, 'sequence'>;
  sections: HeartbeatSections;
}

export class HeartbeatComposer {
  private sequence = 0;

  private incarnation: AgentIncarnation = 0;

  private readonly versions = new Map<HeartbeatSection, VersionedSection>();

  /** Highest sequence of the current incarnation that the entry at an address acknowledged. */
  private readonly acknowledged = new Map<string, number>();

  private content: HeartbeatContent | null = null;

  /** Sets the agent's state that heartbeats carry until the next call. */
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

  /** Returns the heartbeat for the entry at the address. Throws before the first `update`. */
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

  /** Records what the entry at the address did with a heartbeat. */
  recordReception(
    address: string,
    heartbeat: HeartbeatParameters,
    reception: HeartbeatReception,
  ): void {
    if (reception === HeartbeatReception.NeedsFull) {
      this.acknowledged.delete(address);
      return;
    }
    // Before the lease is acquired, two processes with the same agent id may both have incarnation 0 and the
    // same sequences, so an entry could mix up their sections. Nothing counts as acknowledged until then.
    const isOwn = heartbeat.incarnation === this.incarnation && heartbeat.incarnation > 0;
    if (isOwn && reception === HeartbeatReception.Taken) {
      const before = this.acknowledged.get(address) ?? NO_BASE;
      this.acknowledged.set(address, Math.max(before, heartbeat.sequence));
    }
  }

  /** Removes the acknowledged sequences of entries that are not at one of the addresses. */
  removeOtherAddresses(addresses: readonly string[]): void {
    for (const address of this.acknowledged.keys()) {
      if (!addresses.includes(address)) {
        this.acknowledged.delete(address);
      }
    }
  }
}
