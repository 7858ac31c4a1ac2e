/**
 * Fair queue for the requests of one service. Every dequeue adds the guaranteed share of each waiting class
 * to its credit. The class with the most credit is served if it has at least 1, else the most urgent class.
 * Over n dequeues, a class that always has requests waiting gets its share of n, less a constant.
 */
import type { UrgencyClassName } from '@figjunction/types';
import { RequestQueue } from './queue-entry.js';
import type { ClassShare, QueueEntry, QueueKey, RequestQueueOptions } from './queue-entry.js';
import { TeamQueue } from './team-queue.js';

export interface FairQueueOptions extends RequestQueueOptions {
  /** Returns the classes of the current configuration. */
  classes: () => ClassShare[];
}

interface ClassRow<Item> {
  urgency: UrgencyClassName;
  credit: number;
  teams: TeamQueue<Item>;
}

/** Below 1, because a sum of shares that should be 1 may be slightly less in floating point. */
const FULL_CREDIT = 1 - 1e-9;

const LOWEST_RANK = Number.MAX_SAFE_INTEGER;

/** Lower bound for estimates: a class without a share is still served when no other class waits. */
const MINIMUM_ESTIMATED_SHARE = 0.01;

export class FairQueue<Item> extends RequestQueue<Item> {
  private readonly rows = new Map<UrgencyClassName, ClassRow<Item>>();

  constructor(private readonly options: FairQueueOptions) {
    super();
  }

  override get size(): number {
    let size = 0;
    for (const row of this.rows.values()) {
      size += row.teams.size;
    }
    return size;
  }

  override get readySize(): number {
    return this.findRunnableRows().reduce((sum, row) => sum + row.teams.size, 0);
  }

  override enqueue(entry: QueueEntry<Item>): QueueEntry<Item> | null {
    const { teams } = this.getOrCreateRow(entry.urgency);
    if (entry.isRequeued || this.hasFreePlace(entry.urgency)) {
      teams.add(entry);
      return null;
    }
    const displaced = teams.displaceFor(entry);
    if (displaced === null) {
      return entry;
    }
    teams.add(entry);
    return displaced;
  }

  override dequeue(): QueueEntry<Item> | undefined {
    const waiting = this.findRunnableRows();
    const shares = this.indexShares();
    for (const row of waiting) {
      row.credit += shares.get(row.urgency)?.guaranteedShare ?? 0;
    }
    const row = spendHighestCredit(waiting) ?? findMostUrgent(waiting, shares);
    const entry = row?.teams.next();
    if (row?.teams.size === 0) {
      row.credit = 0;
    }
    return entry;
  }

  override remove(item: Item): boolean {
    return [...this.rows.values()].some((row) => row.teams.remove(item));
  }

  override items(): Item[] {
    return [...this.rows.values()].flatMap((row) => row.teams.items());
  }

  override estimateDequeuesBefore(entry: QueueKey): number {
    const ahead = this.countAheadInClass(entry);
    const shares = this.indexShares();
    const others = [...this.rows.values()].filter(
      (row) => row.urgency !== entry.urgency && row.teams.size > 0,
    );
    const shareOf = (urgency: UrgencyClassName): number =>
      shares.get(urgency)?.guaranteedShare ?? 0;
    const othersShare = others.reduce((sum, row) => sum + shareOf(row.urgency), 0);
    const isMostUrgent = others.every(
      (row) => getRank(shares, row.urgency) > getRank(shares, entry.urgency),
    );
    const share = Math.max(
      MINIMUM_ESTIMATED_SHARE,
      isMostUrgent ? 1 - othersShare : shareOf(entry.urgency),
    );
    const othersWaiting = others.reduce((sum, row) => sum + row.teams.size, 0);
    return Math.min(ahead / share, ahead + othersWaiting);
  }

  override countWaiting(urgency: UrgencyClassName): number {
    return this.rows.get(urgency)?.teams.size ?? 0;
  }

  override countAheadInClass(entry: QueueKey): number {
    return this.getOrCreateRow(entry.urgency).teams.countAhead(entry.team, entry.weight);
  }

  private findRunnableRows(): ClassRow<Item>[] {
    const { mayRun = () => true } = this.options;
    return [...this.rows.values()].filter((row) => row.teams.size > 0 && mayRun(row.urgency));
  }

  /** Whether the class may add an entry without using the places guaranteed to the other classes. */
  private hasFreePlace(urgency: UrgencyClassName): boolean {
    const maximum = this.options.maximum();
    const { size } = this;
    let reservedForOthers = 0;
    for (const share of this.indexShares().values()) {
      const reserved = Math.floor(share.guaranteedShare * maximum);
      if (share.urgency === urgency && this.countWaiting(urgency) < reserved) {
        return size < maximum;
      }
      if (share.urgency !== urgency) {
        reservedForOthers += Math.max(0, reserved - this.countWaiting(share.urgency));
      }
    }
    return size + reservedForOthers < maximum;
  }

  private indexShares(): Map<UrgencyClassName, ClassShare> {
    return new Map(this.options.classes().map((share) => [share.urgency, share]));
  }

  private getOrCreateRow(urgency: UrgencyClassName): ClassRow<Item> {
    let row = this.rows.get(urgency);
    if (row === undefined) {
      row = { urgency, credit: 0, teams: new TeamQueue() };
      this.rows.set(urgency, row);
    }
    return row;
  }
}

/** Returns the class with the most credit and deducts 1 from it; null if no class has a full credit. */
function spendHighestCredit<Item>(rows: ClassRow<Item>[]): ClassRow<Item> | null {
  const best = rows.reduce<ClassRow<Item> | null>(
    (highest, row) => (highest === null || row.credit > highest.credit ? row : highest),
    null,
  );
  if (best === null || best.credit < FULL_CREDIT) {
    return null;
  }
  best.credit -= 1;
  return best;
}

function findMostUrgent<Item>(
  rows: ClassRow<Item>[],
  shares: Map<UrgencyClassName, ClassShare>,
): ClassRow<Item> | null {
  return rows.reduce<ClassRow<Item> | null>(
    (best, row) =>
      best === null || getRank(shares, row.urgency) < getRank(shares, best.urgency) ? row : best,
    null,
  );
}

function getRank(shares: Map<UrgencyClassName, ClassShare>, urgency: UrgencyClassName): number {
  return shares.get(urgency)?.rank ?? LOWEST_RANK;
}
