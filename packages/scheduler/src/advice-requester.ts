/**
 * Requests tickets from the adviser for steps with waiting tasks, one call at a time.
 */
import { toError } from '@figjunction/errors';
import type { CellState, StepRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import type { CellContext } from './cell-context.js';

/** Tickets expire this long before their validity ends, and are renewed this long before they expire. */
const TICKET_EXPIRY_MARGIN_MS = 300;
const RETRY_DELAY_MS = 200;
const MAXIMUM_VMS_PER_CALL = 100;

export class AdviceRequester {
  private isRequesting = false;

  private retryAt: Instant = 0;

  constructor(
    private readonly context: CellContext,
    private readonly state: CellState,
    private readonly onTicketsReceived: () => void,
  ) {}

  requestForWaitingSteps(now: Instant): void {
    if (this.isRequesting || now < this.retryAt) {
      return;
    }
    for (const { steps, job } of this.state.active) {
      const { advice } = this.state.getPolicy(job);
      const step = steps.find(({ ready, waiting }) => ready && waiting.size > 0);
      if (advice !== null && step !== undefined) {
        const instanceIds = this.instancesWithoutTicket(step, now);
        if (instanceIds.length > 0) {
          this.requestTickets(step, instanceIds, advice.validMs);
          return;
        }
      }
    }
  }

  private instancesWithoutTicket(step: StepRecord, now: Instant): string[] {
    const { service } = this.state.getPolicy(step.occurrence.job);
    return [...this.state.vms.values()]
      .filter((vm) => vm.session !== 0 && vm.announcement?.service === service)
      .map((vm) => vm.announcement?.instanceId ?? '')
      .filter((id) => (step.tickets.get(id)?.expiresAt ?? 0) < now + TICKET_EXPIRY_MARGIN_MS)
      .slice(0, MAXIMUM_VMS_PER_CALL);
  }

  private requestTickets(step: StepRecord, instanceIds: string[], validMs: number): void {
    const { context } = this;
    const { occurrence } = step;
    const stepName = `${occurrence.job.id}.${occurrence.index}.${step.index}`;
    const requestedAt = context.clock.now();
    this.isRequesting = true;
    context.adviser
      .advise(stepName, instanceIds)
      .then((granted) => {
        const expiresAt = requestedAt + validMs - TICKET_EXPIRY_MARGIN_MS;
        const tickets = new Map(granted.map(({ instanceId, ticket }) => [instanceId, ticket]));
        for (const instanceId of instanceIds) {
          // An empty ticket records the refusal, so that the VM is not requested again until it expires.
          const value = tickets.get(instanceId) ?? '';
          step.tickets.set(instanceId, { value, expiresAt });
        }
        const fields = { step: stepName, asked: instanceIds.length, granted: granted.length };
        context.events.write('advice-received', fields);
        this.onTicketsReceived();
      })
      .catch((error: unknown) => {
        this.retryAt = context.clock.now() + RETRY_DELAY_MS;
        context.events.write('advice-failed', { step: stepName, error: toError(error).message });
      })
      .finally(() => {
        this.isRequesting = false;
      });
  }
}
