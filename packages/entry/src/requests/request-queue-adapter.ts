/**
 * The queue class that p-queue takes the requests of one service from.
 */
import type { QueueAddOptions } from 'p-queue';
import type { QueueKey, RequestQueue } from '@figjunction/decisions';
import { OutcomeCode } from '@figjunction/types';
import type { TurnEnd } from './attempt-runner.js';
import { notRun } from './interactive-request.js';
import type { InteractiveRequest } from './interactive-request.js';

export type Run = () => Promise<unknown>;

/** One stay in the queue. */
export interface Ticket {
  request: InteractiveRequest;
  returned: boolean;
  run: Run | null;
  refuse(end: TurnEnd): void;
}

export interface TicketOptions extends QueueAddOptions {
  ticket: Ticket;
}

/** The queue class that p-queue takes jobs from. */
export class WaitingRequests {
  constructor(private readonly waiting: RequestQueue<Ticket>) {}

  /** Only what may start: p-queue starts requests until this is zero. */
  get size(): number {
    return this.waiting.readySize;
  }

  enqueue(run: Run, options?: Partial<TicketOptions>): void {
    const ticket = options?.ticket as Ticket;
    ticket.run = run;
    const refused = this.waiting.enqueue({
      item: ticket,
      returned: ticket.returned,
      ...fairKey(ticket.request),
    });
    refused?.item.refuse(notRun(OutcomeCode.QueueFull, 'the queue of the class is full'));
  }

  dequeue(): Run | undefined {
    return this.waiting.dequeue()?.item.run ?? undefined;
  }

  filter(): Run[] {
    return this.waiting.items().flatMap(({ run }) => (run === null ? [] : [run]));
  }

  /** The order follows classes and teams, not priorities. */
  setPriority(): void {}
}

export function fairKey(request: InteractiveRequest): QueueKey {
  return { urgency: request.urgency, team: request.team.name, weight: request.team.weight };
}
