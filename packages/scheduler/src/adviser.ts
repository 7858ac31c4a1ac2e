/**
 * The service that decides which VMs may run a step of a queue with advice.
 */
export interface AdviceTicket {
  instanceId: string;
  ticket: string;
}

export abstract class Adviser {
  /** The VMs among the given ones that may run the step. */
  abstract advise(step: string, instanceIds: string[]): Promise<AdviceTicket[]>;
}
