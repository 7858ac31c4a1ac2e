/**
 * Limits the requests of each team to this entry's share of the team's quota.
 */
import type { TeamConfiguration } from '@figjunction/config';
import { TokenBucket } from '@figjunction/decisions';
import type { TeamName } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { TeamDemandTable } from './team-demand.js';

export class QuotaLimiter {
  private readonly buckets = new Map<TeamName, TokenBucket>();

  private readonly teamDemand: TeamDemandTable;

  constructor(private readonly context: EntryContext) {
    this.teamDemand = new TeamDemandTable(context.clock, () => context.peers.live().length);
    context.teamDemand = this.teamDemand;
  }

  /** Counts the request as demand and charges it to the team's quota. False when the quota is exhausted. */
  admit(team: TeamConfiguration): boolean {
    this.teamDemand.record(team.name);
    const perSecond = team.requestsPerSecond * this.teamDemand.getQuotaShare(team.name);
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
