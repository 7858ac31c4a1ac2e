/**
 * Requests per second of each team, here and at the other entries, and the part of a team's quota that
 * this entry may use.
 */
import { quotaShare } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import type { EntryId, TeamDemand, TeamName } from '@figjunction/types';
import type { TeamDemandSource } from '../entry-context.js';

/** Digests come every second; after this long without one a peer counts as not heard. */
const PEER_FRESH_MS = 3_000;

const WINDOW_MS = 1_000;

interface DemandWindow {
  startedAt: Instant;
  current: number;
  previous: number;
}

interface PeerDemand {
  heardAt: Instant;
  perSecond: Map<TeamName, number>;
}

export class TeamDemandTable implements TeamDemandSource {
  private readonly windows = new Map<TeamName, DemandWindow>();

  private readonly peers = new Map<EntryId, PeerDemand>();

  private readonly shares = new Map<TeamName, number>();

  constructor(
    private readonly clock: Clock,
    private readonly liveEntries: () => number,
  ) {}

  /** Counts a request that arrived. */
  record(team: TeamName): void {
    const window = this.windowOf(team);
    window.current += 1;
  }

  demandPerSecond(): TeamDemand[] {
    return [...this.windows.keys()]
      .map((team) => ({ team, requestsPerSecond: this.ownDemand(team) }))
      .filter(({ requestsPerSecond }) => requestsPerSecond > 0);
  }

  /**
   * Takes the digest of a peer and divides the quotas again. Between digests the shares stay: this entry's
   * demand of now against a peer's of a second ago would give both the whole quota when demand begins.
   */
  setPeerDemand(entryId: EntryId, demand: TeamDemand[]): void {
    const perSecond = new Map(demand.map((one) => [one.team, one.requestsPerSecond]));
    this.peers.set(entryId, { heardAt: this.clock.now(), perSecond });
    const heard = this.heardPeers();
    const teams = new Set([
      ...this.windows.keys(),
      ...heard.flatMap((peer) => [...peer.perSecond.keys()]),
    ]);
    for (const team of teams) {
      const peersPerSecond = heard.map((peer) => peer.perSecond.get(team) ?? 0);
      const share = quotaShare({ ownPerSecond: this.ownDemand(team), peersPerSecond });
      this.shares.set(team, share);
    }
  }

  /** The fraction of the team's quota that this entry may use; the last one while no peer is heard. */
  share(team: TeamName): number {
    return this.shares.get(team) ?? 1 / Math.max(this.peers.size + 1, this.liveEntries());
  }

  private heardPeers(): PeerDemand[] {
    const now = this.clock.now();
    return [...this.peers.values()].filter(({ heardAt }) => now - heardAt < PEER_FRESH_MS);
  }

  private ownDemand(team: TeamName): number {
    const window = this.windowOf(team);
    const passed = Math.min(1, (this.clock.now() - window.startedAt) / WINDOW_MS);
    return window.previous * (1 - passed) + window.current;
  }

  private windowOf(team: TeamName): DemandWindow {
    const now = this.clock.now();
    const window = this.windows.get(team);
    if (window === undefined) {
      const created = { startedAt: now, current: 0, previous: 0 };
      this.windows.set(team, created);
      return created;
    }
    const passed = now - window.startedAt;
    if (passed >= WINDOW_MS) {
      window.previous = passed < 2 * WINDOW_MS ? window.current : 0;
      window.current = 0;
      window.startedAt = passed < 2 * WINDOW_MS ? window.startedAt + WINDOW_MS : now;
    }
    return window;
  }
}
