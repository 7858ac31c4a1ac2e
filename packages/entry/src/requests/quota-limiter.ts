/**
 * Admits requests within the quotas of their teams.
 */
import type { TeamConfiguration } from '@figjunction/config';
import { TokenBucket } from '@figjunction/decisions';
import type { TeamName } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { TeamDemandTable } from './team-demand.js';

export class QuotaGate {
  private readonly buckets = new Map<TeamName, TokenBucket>();

  private readonly demand: TeamDemandTable;

  constructor(private readonly context: EntryContext) {
    this.demand = new TeamDemandTable(context.clock, () => context.peers.live().length);
    context.teamDemand = this.demand;
  }

  /** Counts the request as demand and takes it from the team's quota; false when that is used up. */
  admit(team: TeamConfiguration): boolean {
    this.demand.record(team.name);
    const perSecond = team.requestsPerSecond * this.demand.share(team.name);
    let bucket = this.buckets.get(team.name);
    if (bucket === undefined) {
      bucket = new TokenBucket();
      this.buckets.set(team.name, bucket);
    }
    // A quota below one request per second still admits single requests.
    const burst = team.requestsPerSecond === 0 ? 0 : Math.max(1, perSecond);
    return bucket.take(this.context.clock.now(), perSecond, burst);
  }
}
