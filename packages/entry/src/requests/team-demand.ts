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

  private readonly lastShares = new Map<TeamName, number>();

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

  setPeerDemand(entryId: EntryId, demand: TeamDemand[]): void {
    const perSecond = new Map(demand.map((one) => [one.team, one.requestsPerSecond]));
    this.peers.set(entryId, { heardAt: this.clock.now(), perSecond });
  }

  /** The fraction of the team's quota that this entry may use; the last one while no peer is heard. */
  share(team: TeamName): number {
    const now = this.clock.now();
    const heard = [...this.peers.values()].filter((peer) => now - peer.heardAt < PEER_FRESH_MS);
    if (heard.length === 0) {
      return this.lastShares.get(team) ?? 1 / Math.max(1, this.peers.size + 1, this.liveEntries());
    }
    const share = quotaShare({
      ownPerSecond: this.ownDemand(team),
      peersPerSecond: heard.map(({ perSecond }) => perSecond.get(team) ?? 0),
    });
    this.lastShares.set(team, share);
    return share;
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
