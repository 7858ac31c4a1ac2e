/**
 * Adapts `RequestQueue`, which orders the waiting requests of one service, to the queue class of p-queue.
 */
import type { QueueAddOptions } from 'p-queue';
import type { QueueKey, RequestQueue } from '@figjunction/decisions';
import { OutcomeCode } from '@figjunction/types';
import type { DispatchResult } from './attempt-runner.js';
import { createNotRunResult } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';

export type StartRequest = () => Promise<unknown>;

/** A request in the queue, until it starts or is rejected. */
export interface QueuedRequest {
  request: InteractiveRequest;
  /** Whether the request comes back after an attempt; it then goes first in its team. */
  isReturned: boolean;
  /** Starts the request; null before it is enqueued. */
  start: StartRequest | null;
  reject(result: DispatchResult): void;
}

export interface QueuedRequestOptions extends QueueAddOptions {
  queuedRequest: QueuedRequest;
}

/** Queue class for p-queue. */
export class RequestQueueAdapter {
  constructor(private readonly requestQueue: RequestQueue<QueuedRequest>) {}

  /** The number of requests that may start now: p-queue starts requests until it is zero. */
  get size(): number {
    return this.requestQueue.readySize;
  }

  enqueue(start: StartRequest, options?: Partial<QueuedRequestOptions>): void {
    const queuedRequest = options?.queuedRequest as QueuedRequest;
    queuedRequest.start = start;
    const rejected = this.requestQueue.enqueue({
      item: queuedRequest,
      isRequeued: queuedRequest.isReturned,
      ...createQueueKey(queuedRequest.request),
    });
    rejected?.item.reject(
      createNotRunResult(OutcomeCode.QueueFull, 'the queue of the urgency class is full'),
    );
  }

  dequeue(): StartRequest | undefined {
    return this.requestQueue.dequeue()?.item.start ?? undefined;
  }

  filter(): StartRequest[] {
    return this.requestQueue.items().flatMap(({ start }) => (start === null ? [] : [start]));
  }

  /** Does nothing: classes and teams determine the order, not priorities. */
  setPriority(): void {}
}

export function createQueueKey(request: InteractiveRequest): QueueKey {
  return { urgency: request.urgency, team: request.team.name, weight: request.team.weight };
}
