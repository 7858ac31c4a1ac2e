/**
 * What the queues know of a waiting request.
 */
import type { TeamName, UrgencyClassName } from '@figjunction/types';

export interface QueueEntry<Item> {
  item: Item;
  urgency: UrgencyClassName;
  team: TeamName;
  /** Weight of the team within its class. */
  weight: number;
  /** True for a request that was dequeued before and proved not to have run: it goes first in its team. */
  returned: boolean;
}

/** Where a request waits. */
export type QueueKey = Pick<QueueEntry<unknown>, 'urgency' | 'team' | 'weight'>;

export interface RequestQueueOptions {
  maximum: () => number;
  /** False while a class has as many requests running as it may. */
  mayRun?: (urgency: UrgencyClassName) => boolean;
}

export interface ClassShare {
  urgency: UrgencyClassName;
  /** 0 is the most urgent. */
  rank: number;
  /** Guaranteed fraction, 0 to 1. */
  guaranteedShare: number;
}

/** A bounded queue of requests. */
export abstract class RequestQueue<Item> {
  abstract get size(): number;

  /** Entries of classes that may run now: `dequeue` gives one of them. */
  abstract get readySize(): number;

  /** Adds an entry. Returns the one that found no place: the new one, one pushed out for it, or null. */
  abstract enqueue(entry: QueueEntry<Item>): QueueEntry<Item> | null;

  abstract dequeue(): QueueEntry<Item> | undefined;

  abstract remove(item: Item): boolean;

  abstract items(): Item[];

  /** How many dequeues it takes until a new request of the team comes up. */
  abstract turnsBefore(key: QueueKey): number;

  /** How many requests of the same class go before it. */
  abstract aheadInClass(key: QueueKey): number;
}
