/**
 * Requests tickets from the adviser for steps with waiting tasks. The adviser handles one call at a time, so the next one
 * is made when the last is answered, or when its answer is late and may have been lost.
 */
import { toError } from '@figjunction/errors';
import { buildInstanceKey, recordAdvice, sortVmsToAsk } from '@figjunction/scheduling';
import type { CellState, StepRecord, VmRecord } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import type { AdvicePolicy } from '@figjunction/types';
import { AdviceTurns } from './advice-turns.js';
import type { CellContext } from './cell-context.js';

/** Tickets expire this long before their validity ends, or after half of it if that is sooner. */
const TICKET_EXPIRY_MARGIN_MS = 300;
const VALIDITY_SHARE_MINIMUM = 0.5;
/** The adviser's policy on a step doesn't change, but a new VM may be unknown to it at first. */
const REFUSAL_VALID_MS = 10_000;
const RETRY_DELAY_MS = 200;
/** A call takes time for each VM that it names; the objectives of jobs allow for this many. */
const VMS_PER_CALL_MAXIMUM = 30;
/** An answer that takes this much longer than the queue's policy says is late. */
const LATENESS_MS = 500;
const OPEN_CALLS_MAXIMUM = 4;

export class AdviceRequester {
  /** The steps that calls without an answer are about. */
  private readonly openSteps = new Set<StepRecord>();

  /** When the answer of the last call counts as late; the past once it has been answered. */
  private answerLateAt: Instant = 0;

  private lastStep: StepRecord | null = null;

  private retryAt: Instant = 0;

  private readonly turns: AdviceTurns;

  constructor(
    private readonly context: Pick<CellContext, 'adviser' | 'clock' | 'events'>,
    private readonly state: CellState,
    private readonly onTicketsReceived: () => void,
  ) {
    this.turns = new AdviceTurns(state);
  }

  /** `searchedSteps` are those that a placement has searched VMs for and left with waiting tasks. */
  requestForSteps(searchedSteps: StepRecord[], now: Instant): void {
    this.turns.update(searchedSteps, now);
    const turn = this.mayCall(now) ? this.turns.takeNext(this.openSteps, now) : null;
    const advice = turn && this.state.getPolicy(turn.step.occurrence.job).advice;
    if (turn !== null && advice !== null) {
      const vms = sortVmsToAsk(this.state, turn.step, turn.vms, now);
      this.requestTickets(turn.step, vms.slice(0, computeVmsPerCall(advice)), advice);
    }
  }

  private mayCall(now: Instant): boolean {
    const { size } = this.openSteps;
    const mayAddCall = size === 0 || (now >= this.answerLateAt && size < OPEN_CALLS_MAXIMUM);
    return mayAddCall && now >= this.retryAt;
  }

  private requestTickets(step: StepRecord, vms: VmRecord[], advice: AdvicePolicy): void {
    const { context } = this;
    const { validMs, decideMs, eachVmMs } = advice;
    const requestedAt = context.clock.now();
    const ticketsExpireAt =
      requestedAt + Math.max(validMs - TICKET_EXPIRY_MARGIN_MS, validMs * VALIDITY_SHARE_MINIMUM);
    this.openSteps.add(step);
    this.lastStep = step;
    this.answerLateAt = requestedAt + decideMs + eachVmMs * vms.length + LATENESS_MS;
    step.advice.calls += 1;
    step.advice.calledAt = requestedAt;
    this.callAdviser(step, vms, ticketsExpireAt)
      .then(this.onTicketsReceived)
      .catch((error: unknown) => {
        this.retryAt = context.clock.now() + RETRY_DELAY_MS;
        const fields = { step: nameOf(step), calls: step.advice.calls };
        context.events.write('advice-failed', { ...fields, error: toError(error).message });
      })
      .finally(() => {
        this.openSteps.delete(step);
        if (this.lastStep === step) {
          this.answerLateAt = context.clock.now();
        }
      });
  }

  private async callAdviser(
    step: StepRecord,
    vms: VmRecord[],
    ticketsExpireAt: Instant,
  ): Promise<void> {
    const { adviser, clock, events } = this.context;
    const instances = vms.flatMap(({ announcement }) => announcement ?? []);
    const granted = await adviser.advise(
      nameOf(step),
      instances.map(({ instanceId }) => instanceId),
    );
    const ticketsById = new Map(granted.map(({ instanceId, ticket }) => [instanceId, ticket]));
    const tickets = new Map<string, string>();
    for (const announcement of instances) {
      const ticket = ticketsById.get(announcement.instanceId);
      if (ticket !== undefined) {
        tickets.set(buildInstanceKey(announcement), ticket);
      }
    }
    const refusalsExpireAt = clock.now() + REFUSAL_VALID_MS;
    const instanceKeys = instances.map(buildInstanceKey);
    recordAdvice({ step, instanceKeys, tickets, ticketsExpireAt, refusalsExpireAt });
    const fields = { step: nameOf(step), calls: step.advice.calls };
    events.write('advice-received', { ...fields, asked: vms.length, granted: tickets.size });
  }
}

function nameOf({ occurrence, index }: StepRecord): string {
  return `${occurrence.job.id}.${occurrence.index}.${index}`;
}

/** A call must not take most of the time for which its tickets are valid. */
function computeVmsPerCall({ decideMs, eachVmMs, validMs }: AdvicePolicy): number {
  if (eachVmMs === 0) {
    return VMS_PER_CALL_MAXIMUM;
  }
  const affordable = (validMs * VALIDITY_SHARE_MINIMUM - decideMs) / eachVmMs;
  return Math.max(1, Math.min(VMS_PER_CALL_MAXIMUM, Math.floor(affordable)));
}
