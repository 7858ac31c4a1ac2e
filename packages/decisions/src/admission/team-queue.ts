/**
 * Weighted fair queueing among the teams of one urgency class (start-time fair queueing). Each served
 * request advances the virtual time of its team by 1/weight; the team with the smallest is served next.
 */
import type { TeamName } from '@figjunction/types';
import type { QueueEntry } from './queue-entry.js';

interface TeamRow<Item> {
  team: TeamName;
  weight: number;
  entries: QueueEntry<Item>[];
  virtualTime: number;
}

export class TeamQueue<Item> {
  private readonly teams = new Map<TeamName, TeamRow<Item>>();

  private virtualTime = 0;

  private count = 0;

  get size(): number {
    return this.count;
  }

  add(entry: QueueEntry<Item>): void {
    const row = this.getOrCreateRow(entry);
    if (row.entries.length === 0) {
      // An idle team accumulates no credit.
      row.virtualTime = Math.max(row.virtualTime, this.virtualTime);
    }
    if (entry.isRequeued) {
      row.entries.unshift(entry);
      row.virtualTime -= 1 / row.weight;
    } else {
      row.entries.push(entry);
    }
    this.count += 1;
  }

  /** Removes and returns the next entry. */
  next(): QueueEntry<Item> | undefined {
    let best: TeamRow<Item> | undefined;
    for (const row of this.teams.values()) {
      if (row.entries.length > 0 && (best === undefined || row.virtualTime < best.virtualTime)) {
        best = row;
      }
    }
    if (best === undefined) {
      return undefined;
    }
    this.virtualTime = Math.max(this.virtualTime, best.virtualTime);
    best.virtualTime += 1 / best.weight;
    this.count -= 1;
    const entry = best.entries.shift();
    if (this.count === 0) {
      this.teams.clear();
    }
    return entry;
  }

  /**
   * Removes and returns the newest entry of the other team with the longest queue for its weight. Returns
   * null if that queue is not longer than the queue of the entry's team would be with the entry.
   */
  displaceFor(entry: QueueEntry<Item>): QueueEntry<Item> | null {
    const ownWeightedLength =
      ((this.teams.get(entry.team)?.entries.length ?? 0) + 1) / entry.weight;
    const rows = [...this.teams.values()].filter((row) => row.team !== entry.team);
    const longest = rows.reduce<TeamRow<Item> | null>(
      (best, row) => (best === null || weightedLength(row) > weightedLength(best) ? row : best),
      null,
    );
    if (longest === null || weightedLength(longest) <= ownWeightedLength) {
      return null;
    }
    this.count -= 1;
    return longest.entries.pop() ?? null;
  }

  remove(item: Item): boolean {
    for (const row of this.teams.values()) {
      const index = row.entries.findIndex((entry) => entry.item === item);
      if (index >= 0) {
        row.entries.splice(index, 1);
        this.count -= 1;
        return true;
      }
    }
    return false;
  }

  /** Estimates how many requests are served before a new one of the team. */
  countAhead(team: TeamName, weight: number): number {
    const rows = [...this.teams.values()].filter((row) => row.entries.length > 0);
    const own = rows.find((row) => row.team === team)?.entries.length ?? 0;
    const others = rows
      .filter((row) => row.team !== team)
      .reduce(
        (sum, row) => sum + Math.min(row.entries.length, ((own + 1) * row.weight) / weight),
        0,
      );
    return own + others;
  }

  items(): Item[] {
    return [...this.teams.values()].flatMap((row) => row.entries.map(({ item }) => item));
  }

  private getOrCreateRow(entry: QueueEntry<Item>): TeamRow<Item> {
    let row = this.teams.get(entry.team);
    if (row === undefined) {
      row = { team: entry.team, weight: entry.weight, entries: [], virtualTime: 0 };
      this.teams.set(entry.team, row);
    }
    row.weight = entry.weight;
    return row;
  }
}

function weightedLength<Item>(row: TeamRow<Item>): number {
  return row.entries.length / row.weight;
}
