/**
 * Queue of the requests of one service that wait for a slot. p-queue limits how many run concurrently; the
 * queue class determines their order. The limit of each urgency class adapts to what the agents admit,
 * since other entries use the same slots.
 */
import PQueue from 'p-queue';
import {
  ClassLimits,
  FairQueue,
  FifoQueue,
  OVERLOAD_AGE_FACTOR,
  OVERLOAD_WAIT_FACTOR,
  OverloadDetector,
} from '@figjunction/decisions';
import type { ClassShare, RequestQueue } from '@figjunction/decisions';
import { remainingMs, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { UrgencyClassName } from '@figjunction/types';
import type { DispatchResult } from './attempt-runner.js';
import { ABORT_REASON, createNotRunResult } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';
import { RequestQueueAdapter, createQueueKey } from './request-queue-adapter.js';
import type { QueuedRequest, QueuedRequestOptions } from './request-queue-adapter.js';

export interface ServiceQueueOptions {
  clock: Clock;
  /** Whether classes and teams share the slots fairly; otherwise first in, first out. */
  isFair: boolean;
  /** Maximum number of queued requests. */
  maximum: () => number;
  classes: () => ClassShare[];
  /** Median latency of one attempt; null before the first. */
  medianLatencyMs: () => number | null;
  /** Delay before a request that found no free slot is queued again. */
  getRetryDelayMs: () => number;
  /** Number of entries that share the slots, including this one. */
  countEntries: () => number;
}

/**
 * A class may use all slots until its limit is lowered. Requests of a second class start at the same time, so
 * that the agents see its demand and keep its guaranteed slots free.
 */
const CONCURRENT_CLASSES = 2;

/** Key of the one limit that all classes share without fairness. */
const SHARED_LIMIT_KEY = 'all';

export class ServiceQueue {
  private readonly queue: PQueue<RequestQueueAdapter, QueuedRequestOptions>;

  private readonly waiting: RequestQueue<QueuedRequest>;

  private readonly limits = new ClassLimits();

  private readonly waits = new OverloadDetector();

  private slotCount = 1;

  constructor(private readonly options: ServiceQueueOptions) {
    const { isFair, maximum, classes } = options;
    const mayRun = (urgency: UrgencyClassName): boolean =>
      this.limits.isBelowLimit(this.getLimitKey(urgency));
    const waiting = isFair
      ? new FairQueue<QueuedRequest>({ maximum, classes, mayRun })
      : new FifoQueue<QueuedRequest>({ maximum, mayRun });
    this.waiting = waiting;
    this.queue = new PQueue<RequestQueueAdapter, QueuedRequestOptions>({
      concurrency: this.slotCount * CONCURRENT_CLASSES,
      queueClass: class extends RequestQueueAdapter {
        constructor() {
          super(waiting);
        }
      },
    });
  }

  get length(): number {
    return this.waiting.size;
  }

  get running(): number {
    return this.queue.pending;
  }

  /** Dispatches a request in its turn, or rejects it as not run. Returned requests go first in their team. */
  run(
    request: InteractiveRequest,
    isReturned: boolean,
    slotCount: number,
    dispatch: () => Promise<DispatchResult>,
  ): Promise<DispatchResult> {
    this.setSlotCount(slotCount);
    const refusal = isReturned ? null : this.rejectOnArrival(request);
    if (refusal !== null) {
      return Promise.resolve(refusal);
    }
    return new Promise((resolve) => {
      const stopWaiting = new AbortController();
      const reject = (result: DispatchResult): void => {
        stopWaiting.abort(ABORT_REASON);
        resolve(result);
      };
      const queuedRequest: QueuedRequest = { request, isReturned, start: null, reject };
      const start = async (): Promise<void> => {
        stopWaiting.abort(ABORT_REASON);
        resolve(this.rejectBeforeStart(request) ?? (await this.execute(request, dispatch)));
      };
      this.queue.add(start, { queuedRequest }).catch(() => {});
      this.removeOnDeadlineOrDisconnect(queuedRequest, stopWaiting.signal);
    });
  }

  /** Returns a result when an arriving request must not be queued. */
  private rejectOnArrival(request: InteractiveRequest): DispatchResult | null {
    if (!this.canMeetDeadline(request)) {
      return createNotRunResult(
        OutcomeCode.DeadlineTooShort,
        'the queue is too long to meet the deadline',
      );
    }
    const { urgency } = request;
    const { clock, isFair } = this.options;
    this.waits.recordWaiting(urgency, this.waiting.countWaiting(urgency), clock.now());
    const rounds =
      this.waiting.countAheadInClass(createQueueKey(request)) / this.limits.getLimit(urgency);
    if (isFair && rounds > OVERLOAD_WAIT_FACTOR && this.waits.isOverloaded(urgency, clock.now())) {
      return createNotRunResult(OutcomeCode.QueueFull, 'the urgency class is overloaded');
    }
    return null;
  }

  /** Returns a result when a request whose turn has come must not be dispatched any more. */
  private rejectBeforeStart(request: InteractiveRequest): DispatchResult | null {
    const { clock, isFair } = this.options;
    const { urgency } = request;
    const medianLatencyMs = this.options.medianLatencyMs() ?? 0;
    const now = clock.now();
    this.waits.recordWaiting(urgency, this.waiting.countWaiting(urgency), now);
    if (this.waiting.size > 0 && this.getRemainingMs(request) < medianLatencyMs) {
      return createNotRunResult(
        OutcomeCode.DeadlineTooShort,
        'too little time remains to run the request after queueing',
      );
    }
    const isOld = now - request.arrivedAt > OVERLOAD_AGE_FACTOR * medianLatencyMs;
    // Enough requests always stay to keep the slots busy, even if a busy processor makes every request old.
    const isLong =
      this.waiting.countWaiting(urgency) > OVERLOAD_WAIT_FACTOR * this.limits.getLimit(urgency);
    if (isFair && isOld && isLong && this.waits.isOverloaded(urgency, now)) {
      return createNotRunResult(OutcomeCode.QueueFull, 'waited too long in an overloaded class');
    }
    return null;
  }

  private async execute(
    request: InteractiveRequest,
    dispatch: () => Promise<DispatchResult>,
  ): Promise<DispatchResult> {
    const key = this.getLimitKey(request.urgency);
    this.limits.recordStart(key);
    try {
      const result = await dispatch();
      this.adjustLimit(request.urgency, result);
      if (result.code === OutcomeCode.NoSlot) {
        // Still counts towards the limit, so that no other request starts and is refused in its place.
        await sleep(this.options.getRetryDelayMs(), request.disconnectSignal);
      }
      return result;
    } finally {
      this.limits.recordEnd(key);
      this.startQueuedRequests();
    }
  }

  /** Sets the number of slots of all instances, which no limit exceeds. */
  private setSlotCount(slotCount: number): void {
    if (slotCount !== this.slotCount) {
      this.slotCount = Math.max(1, slotCount);
      this.limits.setCeiling(this.slotCount);
      this.startQueuedRequests();
    }
  }

  /** Lowers the limit of a class after a refusal without a free slot; raises it after a completed attempt. */
  private adjustLimit(urgency: UrgencyClassName, result: DispatchResult): void {
    const key = this.getLimitKey(urgency);
    if (result.code === OutcomeCode.NoSlot) {
      const shares = this.options.classes();
      const share = shares.find((classShare) => classShare.urgency === key)?.guaranteedShare ?? 0;
      const floor = (share * this.slotCount) / Math.max(1, this.options.countEntries());
      this.limits.decreaseLimit(key, floor, this.options.clock.now());
    } else if (result.outcome === RequestOutcome.Completed) {
      this.limits.increaseLimit(key);
    }
  }

  /** Sets the concurrency, which makes p-queue check again for requests that may start. */
  private startQueuedRequests(): void {
    this.queue.concurrency = this.slotCount * CONCURRENT_CLASSES;
  }

  private canMeetDeadline(request: InteractiveRequest): boolean {
    const limit = this.limits.getLimit(this.getLimitKey(request.urgency));
    const key = createQueueKey(request);
    const isBusy =
      this.running >= this.slotCount * CONCURRENT_CLASSES ||
      !this.limits.isBelowLimit(this.getLimitKey(key.urgency));
    if (!isBusy) {
      // Not rejected without an attempt, else the estimate would stay high after one slow period.
      return true;
    }
    const medianLatencyMs = this.options.medianLatencyMs() ?? 0;
    const rounds = Math.max(
      (this.waiting.estimateDequeuesBefore(key) + 1) / this.slotCount,
      (this.waiting.countAheadInClass(key) + 1) / limit,
    );
    return this.getRemainingMs(request) > (rounds + 1) * medianLatencyMs;
  }

  private getRemainingMs(request: InteractiveRequest): number {
    return remainingMs(this.options.clock, request.deadline);
  }

  private getLimitKey(urgency: UrgencyClassName): UrgencyClassName {
    return this.options.isFair ? urgency : SHARED_LIMIT_KEY;
  }

  /** Removes a queued request when its deadline passes or its caller disconnects. */
  private removeOnDeadlineOrDisconnect(queuedRequest: QueuedRequest, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const { disconnectSignal } = queuedRequest.request;
    const remove = (code: OutcomeCode, message: string): void => {
      if (this.waiting.remove(queuedRequest)) {
        queuedRequest.reject(createNotRunResult(code, message));
      }
    };
    const onAbort = (): void => remove(OutcomeCode.AttemptCancelled, 'the caller disconnected');
    const timer = setTimeout(
      () => remove(OutcomeCode.DeadlineTooShort, 'no slot became free before the deadline'),
      this.getRemainingMs(queuedRequest.request),
    );
    timer.unref();
    signal.addEventListener('abort', () => clearTimeout(timer));
    disconnectSignal.addEventListener('abort', onAbort, { signal });
  }
}
