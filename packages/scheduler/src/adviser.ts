/**
 * Interface to the service that decides which VMs may run a step. Only queues with an advice policy use it.
 */
export interface AdviceTicket {
  instanceId: string;
  ticket: string;
}

export abstract class Adviser {
  /** Returns a ticket for each of the given VMs that may run the step. Rejects when the call fails. */
  abstract advise(step: string, instanceIds: string[]): Promise<AdviceTicket[]>;
}
