/**
 * Requests of one service that wait for a slot. p-queue drives how many run at once; the queue class
 * decides which goes next. The number that may run follows what the agents admit, since other entries use
 * the same slots.
 */
import PQueue from 'p-queue';
import { FairQueue, FifoQueue } from '@figjunction/decisions';
import type { ClassShare, RequestQueue } from '@figjunction/decisions';
import { remainingMs } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { TurnEnd } from './attempt-runner.js';
import { notRun } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';
import { WaitingRequests, fairKey } from './waiting-requests.js';
import type { Ticket, TicketOptions } from './waiting-requests.js';

export interface ServiceQueueOptions {
  clock: Clock;
  /** False for first in, first out. */
  fair: boolean;
  maximum: () => number;
  classes: () => ClassShare[];
  /** Usual time of one attempt; null before the first. */
  usualMs: () => number | null;
}

/** Completed attempts raise the limit by this much each. */
const LIMIT_STEP = 0.25;

export class ServiceQueue {
  private readonly queue: PQueue<WaitingRequests, TicketOptions>;

  private readonly waiting: RequestQueue<Ticket>;

  private ceiling = 1;

  private limit = 1;

  constructor(private readonly options: ServiceQueueOptions) {
    const { fair, maximum, classes } = options;
    const waiting = fair
      ? new FairQueue<Ticket>({ maximum, classes })
      : new FifoQueue<Ticket>(maximum);
    this.waiting = waiting;
    this.queue = new PQueue<WaitingRequests, TicketOptions>({
      concurrency: 1,
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
    if (!returned && !this.canMeetDeadline(request)) {
      const message = 'the queue is too long for the deadline';
      return Promise.resolve(notRun(OutcomeCode.DeadlineTooShort, message));
    }
    return new Promise((resolve) => {
      const stopWaiting = new AbortController();
      const end = (value: TurnEnd): void => {
        stopWaiting.abort();
        resolve(value);
      };
      const ticket: Ticket = { request, returned, run: null, refuse: end };
      const start = async (): Promise<void> => {
        stopWaiting.abort();
        const value = await job();
        this.learn(value);
        resolve(value);
      };
      this.queue.add(start, { ticket }).catch(() => {});
      this.limitWait(ticket, stopWaiting.signal);
    });
  }

  /** Slots of all instances; the limit never exceeds them. */
  private setCeiling(slots: number): void {
    if (slots !== this.ceiling) {
      // New instances are used at once; a lower limit that agents forced stays in proportion.
      this.limit = Math.max(1, this.limit + slots - this.ceiling);
      this.ceiling = slots;
      this.apply();
    }
  }

  /** Follows the agents: fewer attempts at once after a refusal, slowly more after completed ones. */
  private learn(end: TurnEnd): void {
    if (end.code === OutcomeCode.NoSlot) {
      this.limit = Math.max(1, Math.min(this.limit, this.running - 1));
    } else if (end.outcome === RequestOutcome.Completed) {
      this.limit += LIMIT_STEP;
    }
    this.apply();
  }

  private apply(): void {
    this.limit = Math.min(this.limit, this.ceiling);
    this.queue.concurrency = Math.max(1, Math.floor(this.limit));
  }

  private canMeetDeadline(request: InteractiveRequest): boolean {
    if (this.running < this.queue.concurrency) {
      // Never refused without trying, else one slow spell would keep its latency as the estimate.
      return true;
    }
    const usualMs = this.options.usualMs() ?? 0;
    const turns = this.waiting.turnsBefore(fairKey(request)) + 1;
    const waitMs = (turns * usualMs) / this.queue.concurrency;
    return remainingMs(this.options.clock, request.deadline) > waitMs + usualMs;
  }

  /** Takes a request out when its deadline passes or its caller goes away. */
  private limitWait(ticket: Ticket, signal: AbortSignal): void {
    if (signal.aborted) {
      return;
    }
    const { callerGone, deadline } = ticket.request;
    const leave = (code: OutcomeCode, message: string): void => {
      if (this.waiting.remove(ticket)) {
        ticket.refuse(notRun(code, message));
      }
    };
    const onGone = (): void => leave(OutcomeCode.AttemptCancelled, 'the caller went away');
    const timer = setTimeout(
      () => leave(OutcomeCode.DeadlineTooShort, 'no slot became free before the deadline'),
      remainingMs(this.options.clock, deadline),
    );
    signal.addEventListener('abort', () => clearTimeout(timer));
    callerGone.addEventListener('abort', onGone, { signal });
  }
}
