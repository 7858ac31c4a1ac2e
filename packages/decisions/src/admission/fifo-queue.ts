/**
 * First-in, first-out queue: the baseline that the fair queue is compared with.
 */
import { RequestQueue } from './queue-entry.js';
import type { QueueEntry, RequestQueueOptions } from './queue-entry.js';

export class FifoQueue<Item> extends RequestQueue<Item> {
  private readonly entries: QueueEntry<Item>[] = [];

  constructor(private readonly options: RequestQueueOptions) {
    super();
  }

  override get size(): number {
    return this.entries.length;
  }

  override get readySize(): number {
    const [first] = this.entries;
    const { mayRun = () => true } = this.options;
    return first !== undefined && mayRun(first.urgency) ? this.size : 0;
  }

  override enqueue(entry: QueueEntry<Item>): QueueEntry<Item> | null {
    if (entry.isRequeued) {
      this.entries.unshift(entry);
      return null;
    }
    if (this.entries.length >= this.options.maximum()) {
      return entry;
    }
    this.entries.push(entry);
    return null;
  }

  override dequeue(): QueueEntry<Item> | undefined {
    return this.entries.shift();
  }

  override remove(item: Item): boolean {
    const index = this.entries.findIndex((entry) => entry.item === item);
    if (index < 0) {
      return false;
    }
    this.entries.splice(index, 1);
    return true;
  }

  override items(): Item[] {
    return this.entries.map(({ item }) => item);
  }

  override estimateDequeuesBefore(): number {
    return this.entries.length;
  }

  override countWaiting(): number {
    return this.entries.length;
  }

  override countAheadInClass(): number {
    return this.entries.length;
  }
}
