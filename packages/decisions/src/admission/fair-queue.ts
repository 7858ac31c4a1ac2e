/**
 * Waiting requests of one service. Every dequeue earns each waiting class credit for its guaranteed share;
 * a class with a whole credit goes first, and what no class has earned goes to the most urgent one. Over n
 * dequeues a class that always has requests waiting gets its share of n, less a constant.
 */
import type { UrgencyClassName } from '@figjunction/types';
import { RequestQueue } from './queue-entry.js';
import type { ClassShare, QueueEntry, QueueKey, RequestQueueOptions } from './queue-entry.js';
import { TeamQueue } from './team-queue.js';

export interface FairQueueOptions extends RequestQueueOptions {
  /** The classes of the configuration in force. */
  classes: () => ClassShare[];
}

interface ClassRow<Item> {
  urgency: UrgencyClassName;
  credit: number;
  teams: TeamQueue<Item>;
}

/** A sum of shares that is one on paper may fall short of it in floating point. */
const WHOLE_CREDIT = 1 - 1e-9;

const LEAST_RANK = Number.MAX_SAFE_INTEGER;

/** A class without a share still gets turns when nobody else waits; this bounds its estimate. */
const SMALLEST_SHARE = 0.01;

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
    return this.ready().reduce((sum, row) => sum + row.teams.size, 0);
  }

  override enqueue(entry: QueueEntry<Item>): QueueEntry<Item> | null {
    const { teams } = this.rowOf(entry.urgency);
    if (entry.returned || this.hasPlace(entry.urgency)) {
      teams.add(entry);
      return null;
    }
    const pushedOut = teams.pushOutFor(entry);
    if (pushedOut === null) {
      return entry;
    }
    teams.add(entry);
    return pushedOut;
  }

  override dequeue(): QueueEntry<Item> | undefined {
    const waiting = this.ready();
    const shares = this.shares();
    for (const row of waiting) {
      row.credit += shares.get(row.urgency)?.guaranteedShare ?? 0;
    }
    const row = richest(waiting) ?? mostUrgent(waiting, shares);
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

  override turnsBefore(entry: QueueKey): number {
    const ahead = this.aheadInClass(entry);
    const shares = this.shares();
    const others = [...this.rows.values()].filter(
      (row) => row.urgency !== entry.urgency && row.teams.size > 0,
    );
    const shareOf = (urgency: UrgencyClassName): number =>
      shares.get(urgency)?.guaranteedShare ?? 0;
    const taken = others.reduce((sum, row) => sum + shareOf(row.urgency), 0);
    const isMostUrgent = others.every(
      (row) => rankOf(shares, row.urgency) > rankOf(shares, entry.urgency),
    );
    const share = Math.max(SMALLEST_SHARE, isMostUrgent ? 1 - taken : shareOf(entry.urgency));
    const othersWaiting = others.reduce((sum, row) => sum + row.teams.size, 0);
    return Math.min(ahead / share, ahead + othersWaiting);
  }

  override aheadInClass(entry: QueueKey): number {
    return this.rowOf(entry.urgency).teams.ahead(entry.team, entry.weight);
  }

  private ready(): ClassRow<Item>[] {
    const { mayRun = () => true } = this.options;
    return [...this.rows.values()].filter((row) => row.teams.size > 0 && mayRun(row.urgency));
  }

  /** Whether one more entry of the class leaves the places that the other classes are guaranteed. */
  private hasPlace(urgency: UrgencyClassName): boolean {
    const maximum = this.options.maximum();
    const lengthOf = (name: UrgencyClassName): number => this.rows.get(name)?.teams.size ?? 0;
    const { size } = this;
    let kept = 0;
    for (const one of this.shares().values()) {
      const reserved = Math.floor(one.guaranteedShare * maximum);
      if (one.urgency === urgency && lengthOf(urgency) < reserved) {
        return size < maximum;
      }
      if (one.urgency !== urgency) {
        kept += Math.max(0, reserved - lengthOf(one.urgency));
      }
    }
    return size + kept < maximum;
  }

  private shares(): Map<UrgencyClassName, ClassShare> {
    return new Map(this.options.classes().map((one) => [one.urgency, one]));
  }

  private rowOf(urgency: UrgencyClassName): ClassRow<Item> {
    let row = this.rows.get(urgency);
    if (row === undefined) {
      row = { urgency, credit: 0, teams: new TeamQueue() };
      this.rows.set(urgency, row);
    }
    return row;
  }
}

/** The class with the most credit, if it has a whole one, which is then used. */
function richest<Item>(rows: ClassRow<Item>[]): ClassRow<Item> | null {
  const best = rows.reduce<ClassRow<Item> | null>(
    (found, row) => (found === null || row.credit > found.credit ? row : found),
    null,
  );
  if (best === null || best.credit < WHOLE_CREDIT) {
    return null;
  }
  best.credit -= 1;
  return best;
}

function mostUrgent<Item>(
  rows: ClassRow<Item>[],
  shares: Map<UrgencyClassName, ClassShare>,
): ClassRow<Item> | null {
  return rows.reduce<ClassRow<Item> | null>(
    (found, row) =>
      found === null || rankOf(shares, row.urgency) < rankOf(shares, found.urgency) ? row : found,
    null,
  );
}

function rankOf(shares: Map<UrgencyClassName, ClassShare>, urgency: UrgencyClassName): number {
  return shares.get(urgency)?.rank ?? LEAST_RANK;
}
