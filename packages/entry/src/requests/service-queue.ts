/**
 * Requests of one service that wait for a slot. p-queue drives how many run at once; the queue class
 * decides which goes next. How many of each class may run follows what the agents admit, since other
 * entries use the same slots.
 */
import PQueue from 'p-queue';
import {
  ClassLimits,
  FairQueue,
  FifoQueue,
  OVERLOAD_AGE_FACTOR,
  OVERLOAD_WAIT_FACTOR,
  WaitControl,
} from '@figjunction/decisions';
import type { ClassShare, RequestQueue } from '@figjunction/decisions';
import { remainingMs, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { UrgencyClassName } from '@figjunction/types';
import type { TurnEnd } from './attempt-runner.js';
import { ENDED, notRun } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';
import { WaitingRequests, fairKey } from './request-queue-adapter.js';
import type { Ticket, TicketOptions } from './request-queue-adapter.js';

export interface ServiceQueueOptions {
  clock: Clock;
  /** False for first in, first out. */
  fair: boolean;
  maximum: () => number;
  classes: () => ClassShare[];
  /** Usual time of one attempt; null before the first. */
  usualMs: () => number | null;
  /** How long a request that found no slot waits before it is queued again. */
  backoffMs: () => number;
  /** Entries that share the slots, this one included. */
  entries: () => number;
}

/**
 * A class may fill all slots until its limit falls. The requests of another class start beside it, so that
 * the agents see their demand and keep their guaranteed slots free.
 */
const CLASSES_AT_ONCE = 2;

/** Without fairness all classes share one limit. */
const ONE_CLASS = 'all';

export class ServiceQueue {
  private readonly queue: PQueue<WaitingRequests, TicketOptions>;

  private readonly waiting: RequestQueue<Ticket>;

  private readonly limits = new ClassLimits();

  private readonly waits = new WaitControl();

  private ceiling = 1;

  constructor(private readonly options: ServiceQueueOptions) {
    const { fair, maximum, classes } = options;
    const mayRun = (urgency: UrgencyClassName): boolean => this.limits.allows(this.keyOf(urgency));
    const waiting = fair
      ? new FairQueue<Ticket>({ maximum, classes, mayRun })
      : new FifoQueue<Ticket>({ maximum, mayRun });
    this.waiting = waiting;
    this.queue = new PQueue<WaitingRequests, TicketOptions>({
      concurrency: this.ceiling * CLASSES_AT_ONCE,
      queueClass: class extends WaitingRequests {
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

  /** Runs a job when its turn comes, or refuses it as not run. A returned request goes first in its team. */
  run(
    request: InteractiveRequest,
    returned: boolean,
    slots: number,
    job: () => Promise<TurnEnd>,
  ): Promise<TurnEnd> {
    this.setCeiling(slots);
    const refusal = returned ? null : this.refusalOf(request);
    if (refusal !== null) {
      return Promise.resolve(refusal);
    }
    return new Promise((resolve) => {
      const stopWaiting = new AbortController();
      const end = (value: TurnEnd): void => {
        stopWaiting.abort(ENDED);
        resolve(value);
      };
      const ticket: Ticket = { request, returned, run: null, refuse: end };
      const start = async (): Promise<void> => {
        stopWaiting.abort(ENDED);
        resolve(this.refusalAtStart(request) ?? (await this.execute(request, job)));
      };
      this.queue.add(start, { ticket }).catch(() => {});
      this.limitWait(ticket, stopWaiting.signal);
    });
  }

  /** Why a request that arrives is not queued. */
  private refusalOf(request: InteractiveRequest): TurnEnd | null {
    if (!this.canMeetDeadline(request)) {
      return notRun(OutcomeCode.DeadlineTooShort, 'the queue is too long for the deadline');
    }
    const { urgency } = request;
    const { clock, fair } = this.options;
    this.waits.note(urgency, this.waiting.lengthOf(urgency), clock.now());
    const rounds = this.waiting.aheadInClass(fairKey(request)) / this.limits.of(urgency);
    if (fair && rounds > OVERLOAD_WAIT_FACTOR && this.waits.isOverloaded(urgency, clock.now())) {
      return notRun(OutcomeCode.QueueFull, 'more requests of the class arrive than can run');
    }
    return null;
  }

  /** Why a request whose turn has come is not run any more. */
  private refusalAtStart(request: InteractiveRequest): TurnEnd | null {
    const { clock, fair } = this.options;
    const { urgency } = request;
    const usualMs = this.options.usualMs() ?? 0;
    const now = clock.now();
    this.waits.note(urgency, this.waiting.lengthOf(urgency), now);
    if (this.waiting.size > 0 && this.leftMs(request) < usualMs) {
      return notRun(OutcomeCode.DeadlineTooShort, 'the wait left too little time to run');
    }
    const isOld = now - request.arrivedAt > OVERLOAD_AGE_FACTOR * usualMs;
    // Enough always stay to keep the slots busy, also when a busy processor makes every request old.
    const isLong = this.waiting.lengthOf(urgency) > OVERLOAD_WAIT_FACTOR * this.limits.of(urgency);
    if (fair && isOld && isLong && this.waits.isOverloaded(urgency, now)) {
      return notRun(OutcomeCode.QueueFull, 'waited too long in an overload of the class');
    }
    return null;
  }

  private async execute(
    request: InteractiveRequest,
    job: () => Promise<TurnEnd>,
  ): Promise<TurnEnd> {
    const key = this.keyOf(request.urgency);
    this.limits.begin(key);
    try {
      const end = await job();
      this.learn(request.urgency, end);
      if (end.code === OutcomeCode.NoSlot) {
        // Keeps its place in the limit, so that no other request takes its turn to be refused.
        await sleep(this.options.backoffMs(), request.callerGone);
      }
      return end;
    } finally {
      this.limits.end(key);
      this.startWaiting();
    }
  }

  /** Slots of all instances; no limit exceeds them. */
  private setCeiling(slots: number): void {
    if (slots !== this.ceiling) {
      this.ceiling = Math.max(1, slots);
      this.limits.setCeiling(this.ceiling);
      this.startWaiting();
    }
  }

  private learn(urgency: UrgencyClassName, end: TurnEnd): void {
    const key = this.keyOf(urgency);
    if (end.code === OutcomeCode.NoSlot) {
      const shares = this.options.classes();
      const share = shares.find((one) => one.urgency === key)?.guaranteedShare ?? 0;
      const floor = (share * this.ceiling) / Math.max(1, this.options.entries());
      this.limits.lower(key, floor, this.options.clock.now());
    } else if (end.outcome === RequestOutcome.Completed) {
      this.limits.raise(key);
    }
  }

  /** Setting the concurrency lets p-queue look again for requests that may start. */
  private startWaiting(): void {
    this.queue.concurrency = this.ceiling * CLASSES_AT_ONCE;
  }

  private canMeetDeadline(request: InteractiveRequest): boolean {
    const limit = this.limits.of(this.keyOf(request.urgency));
    const key = fairKey(request);
    const isBusy =
      this.running >= this.ceiling * CLASSES_AT_ONCE ||
      !this.limits.allows(this.keyOf(key.urgency));
    if (!isBusy) {
      // Never refused without trying, else one slow spell would keep its latency as the estimate.
      return true;
    }
    const usualMs = this.options.usualMs() ?? 0;
    const rounds = Math.max(
      (this.waiting.turnsBefore(key) + 1) / this.ceiling,
      (this.waiting.aheadInClass(key) + 1) / limit,
    );
    return this.leftMs(request) > (rounds + 1) * usualMs;
  }

  private leftMs(request: InteractiveRequest): number {
    return remainingMs(this.options.clock, request.deadline);
  }

  private keyOf(urgency: UrgencyClassName): UrgencyClassName {
    return this.options.fair ? urgency : ONE_CLASS;
  }

  /** Takes a request out when its deadline passes or its caller goes away. */
  private limitWait(ticket: Ticket, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const { callerGone } = ticket.request;
    const leave = (code: OutcomeCode, message: string): void => {
      if (this.waiting.remove(ticket)) {
        ticket.refuse(notRun(code, message));
      }
    };
    const onGone = (): void => leave(OutcomeCode.AttemptCancelled, 'the caller went away');
    const timer = setTimeout(
      () => leave(OutcomeCode.DeadlineTooShort, 'no slot became free before the deadline'),
      this.leftMs(ticket.request),
    );
    timer.unref();
    signal.addEventListener('abort', () => clearTimeout(timer));
    callerGone.addEventListener('abort', onGone, { signal });
  }
}
