/**
 * Tracks the requests per second of each team at this entry and its peers, and computes the share of each
 * team's quota that this entry may use.
 */
import { calculateQuotaShare } from '@figjunction/decisions';
import type { Clock, Instant } from '@figjunction/time';
import type { EntryId, TeamDemand, TeamName } from '@figjunction/types';
import type { TeamDemandSource } from '../entry-context.js';

/** Digests arrive every second; the demand of a peer without a digest for this long is ignored. */
const PEER_DEMAND_VALIDITY_MS = 3_000;

const WINDOW_MS = 1_000;

/** Requests counted in the current window and the one before. */
interface DemandWindow {
  startedAt: Instant;
  current: number;
  previous: number;
}

interface PeerDemand {
  receivedAt: Instant;
  perSecond: Map<TeamName, number>;
}

export class TeamDemandTable implements TeamDemandSource {
  private readonly windows = new Map<TeamName, DemandWindow>();

  private readonly peers = new Map<EntryId, PeerDemand>();

  private readonly quotaShares = new Map<TeamName, number>();

  constructor(
    private readonly clock: Clock,
    private readonly countLiveEntries: () => number,
  ) {}

  /** Counts one request of the team. */
  record(team: TeamName): void {
    const window = this.getCurrentWindow(team);
    window.current += 1;
  }

  demandPerSecond(): TeamDemand[] {
    return [...this.windows.keys()]
      .map((team) => ({ team, requestsPerSecond: this.getOwnDemand(team) }))
      .filter(({ requestsPerSecond }) => requestsPerSecond > 0);
  }

  /**
   * Stores the demand from a peer's digest and recomputes the quota shares. Shares do not change between
   * digests: when demand starts, comparing this entry's current demand with a peer's demand of one second
   * ago would give both entries the whole quota.
   */
  setPeerDemand(entryId: EntryId, demand: TeamDemand[]): void {
    const perSecond = new Map(demand.map((one) => [one.team, one.requestsPerSecond]));
    this.peers.set(entryId, { receivedAt: this.clock.now(), perSecond });
    const currentPeers = this.listCurrentPeers();
    const teams = new Set([
      ...this.windows.keys(),
      ...currentPeers.flatMap((peer) => [...peer.perSecond.keys()]),
    ]);
    for (const team of teams) {
      const peersPerSecond = currentPeers.map((peer) => peer.perSecond.get(team) ?? 0);
      const share = calculateQuotaShare({ ownPerSecond: this.getOwnDemand(team), peersPerSecond });
      this.quotaShares.set(team, share);
    }
  }

  /**
   * The fraction of the team's quota that this entry may use. It keeps its last value while no digest
   * arrives, and is an equal share of the live entries before the first one.
   */
  getQuotaShare(team: TeamName): number {
    return this.quotaShares.get(team) ?? 1 / Math.max(this.peers.size + 1, this.countLiveEntries());
  }

  private listCurrentPeers(): PeerDemand[] {
    const now = this.clock.now();
    return [...this.peers.values()].filter(
      ({ receivedAt }) => now - receivedAt < PEER_DEMAND_VALIDITY_MS,
    );
  }

  private getOwnDemand(team: TeamName): number {
    const window = this.getCurrentWindow(team);
    const elapsedFraction = Math.min(1, (this.clock.now() - window.startedAt) / WINDOW_MS);
    return window.previous * (1 - elapsedFraction) + window.current;
  }

  private getCurrentWindow(team: TeamName): DemandWindow {
    const now = this.clock.now();
    const window = this.windows.get(team);
    if (window === undefined) {
      const created = { startedAt: now, current: 0, previous: 0 };
      this.windows.set(team, created);
      return created;
    }
    const elapsedMs = now - window.startedAt;
    if (elapsedMs >= WINDOW_MS) {
      window.previous = elapsedMs < 2 * WINDOW_MS ? window.current : 0;
      window.current = 0;
      window.startedAt = elapsedMs < 2 * WINDOW_MS ? window.startedAt + WINDOW_MS : now;
    }
    return window;
  }
}
