/**
 * Entries and interface of the request queues.
 */
import type { TeamName, UrgencyClassName } from '@figjunction/types';

export interface QueueEntry<Item> {
  item: Item;
  urgency: UrgencyClassName;
  team: TeamName;
  /** Weight of the team within its class. */
  weight: number;
  /** Whether the request was dequeued before and certainly did not run; it goes first in its team. */
  isRequeued: boolean;
}

/** The class and team that determine the position of a request. */
export type QueueKey = Pick<QueueEntry<unknown>, 'urgency' | 'team' | 'weight'>;

export interface RequestQueueOptions {
  /** Returns the maximum length of the queue. */
  maximum: () => number;
  /** False while the class runs as many requests as its limit allows. Defaults to always true. */
  mayRun?: (urgency: UrgencyClassName) => boolean;
}

/** An urgency class as the queue sees it. */
export interface ClassShare {
  urgency: UrgencyClassName;
  /** Position by urgency; 0 is the most urgent. */
  rank: number;
  /** Guaranteed fraction of the queue and of the dequeues, 0 to 1. */
  guaranteedShare: number;
}

/** A bounded queue of requests. */
export abstract class RequestQueue<Item> {
  abstract get size(): number;

  /** Number of entries whose class may run now; `dequeue` returns one of them. */
  abstract get readySize(): number;

  /** Adds an entry. Returns the entry that is refused: the new one, one displaced by it, or null. */
  abstract enqueue(entry: QueueEntry<Item>): QueueEntry<Item> | null;

  /** Removes and returns the next entry; undefined if there is none. */
  abstract dequeue(): QueueEntry<Item> | undefined;

  /** Removes the item. Returns false if it is not in the queue. */
  abstract remove(item: Item): boolean;

  abstract items(): Item[];

  /** Estimates how many dequeues precede a new request with this key. */
  abstract estimateDequeuesBefore(key: QueueKey): number;

  /** Number of waiting requests of the class; the FIFO queue counts all classes. */
  abstract countWaiting(urgency: UrgencyClassName): number;

  /** Estimates how many requests of its class precede a new request; the FIFO queue counts all classes. */
  abstract countAheadInClass(key: QueueKey): number;
}
