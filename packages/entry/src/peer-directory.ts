/**
 * The live peers of this entry, and the owner of each shard. Ownership only reduces write conflicts;
 * correctness does not depend on it.
 */
import { createHash } from 'node:crypto';
import type { EntryId, KnownEntry } from '@figjunction/types';

/** Rank of one entry for one key: the highest wins (rendezvous hashing). */
function rendezvousRank(entryId: EntryId, key: string): string {
  return createHash('sha256').update(`${entryId}\n${key}`).digest('hex');
}

export class PeerDirectory {
  private peers: KnownEntry[] = [];

  private readonly ownerCache = new Map<string, EntryId>();

  constructor(private readonly self: KnownEntry) {}

  /** Replaces the list of live entries; this entry is always in it. */
  setLive(entries: KnownEntry[]): void {
    this.peers = entries.filter((entry) => entry.entryId !== this.self.entryId);
    this.ownerCache.clear();
  }

  /** The record of this entry that its peers see. */
  own(): KnownEntry {
    return this.self;
  }

  /** Live entries except this one. */
  others(): KnownEntry[] {
    return this.peers;
  }

  /** Live entries including this one. */
  live(): KnownEntry[] {
    return [this.self, ...this.peers];
  }

  /** Sets this entry's address once its server is listening. */
  setOwnAddress(address: string): void {
    this.self.address = address;
  }

  ownerOf(key: string): KnownEntry {
    const entries = this.live();
    const cached = this.ownerCache.get(key);
    const owner = entries.find((entry) => entry.entryId === cached);
    if (owner !== undefined) {
      return owner;
    }
    const ranked = entries
      .map((entry) => ({ entry, rank: rendezvousRank(entry.entryId, key) }))
      .sort((left, right) => (left.rank < right.rank ? 1 : -1));
    const winner = ranked[0]?.entry ?? this.self;
    this.ownerCache.set(key, winner.entryId);
    return winner;
  }

  owns(key: string): boolean {
    return this.ownerOf(key).entryId === this.self.entryId;
  }

  ownsShard(shard: number): boolean {
    return this.owns(`shard/${shard}`);
  }

  ownerOfShard(shard: number): KnownEntry {
    return this.ownerOf(`shard/${shard}`);
  }
}
