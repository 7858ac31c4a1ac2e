/**
 * Renews and acquires agent leases. Renewals of many agents share a transaction. The last version of each
 * lease that this entry wrote is remembered, so that a renewal usually needs no read.
 */
import { deadlineAfter } from '@figjunction/time';
import { ABSENT_VERSION, LeaseState, leaseKey } from '@figjunction/types';
import type {
  AgentId,
  LeaseRenewParameters,
  LeaseRenewResult,
  LeaseRow,
  VersionedRow,
} from '@figjunction/types';
import type { TaskContext } from './task-context.js';

/** Shorter than the agent's patience, so that it hears of a failure in time to ask another entry. */
const RENEWAL_TIMEOUT_MS = 2_000;
const ATTEMPTS_MAXIMUM = 3;

type KnownLease = VersionedRow<LeaseRow> | null;

export class LeaseRenewal {
  private readonly known = new Map<AgentId, VersionedRow<LeaseRow>>();

  constructor(private readonly context: TaskContext) {}

  async renew(parameters: LeaseRenewParameters): Promise<LeaseRenewResult> {
    const { agentId } = parameters;
    const deadline = deadlineAfter(this.context.entry.clock, RENEWAL_TIMEOUT_MS);
    let lease: KnownLease = this.known.get(agentId) ?? (await this.read(agentId));
    for (let attempt = 0; attempt < ATTEMPTS_MAXIMUM; attempt += 1) {
      if (!isPermitted(parameters, lease)) {
        // A remembered row may be older than the agent's own lease; only a fresh one refuses.
        const fresh = await this.read(agentId);
        if (!isPermitted(parameters, fresh)) {
          return { renewed: false, incarnation: fresh?.value.incarnation ?? 0 };
        }
        lease = fresh;
      }
      const outcome = await this.write(parameters, lease, deadline);
      if (outcome.applied) {
        return { renewed: true, incarnation: parameters.incarnation };
      }
      lease = outcome.current;
    }
    return { renewed: false, incarnation: lease?.value.incarnation ?? 0 };
  }

  private async read(agentId: AgentId): Promise<KnownLease> {
    const [row] = await this.context.entry.table.read<LeaseRow>([leaseKey(agentId)]);
    return row ?? null;
  }

  private async write(
    { agentId, incarnation }: LeaseRenewParameters,
    lease: KnownLease,
    deadline: number,
  ): Promise<{ applied: boolean; current: KnownLease }> {
    const value: Omit<LeaseRow, 'writeId'> = {
      agentId,
      incarnation,
      state: LeaseState.Active,
      count: (lease?.value.count ?? 0) + 1,
    };
    this.known.delete(agentId);
    const outcome = await this.context.leaseWriter.submit({
      key: leaseKey(agentId),
      expectedVersion: lease?.version ?? ABSENT_VERSION,
      value,
      deadline,
    });
    const current = outcome.current as KnownLease;
    if (!outcome.applied || current === null || !isSameTerm(current.value, value)) {
      return { applied: false, current };
    }
    this.known.set(agentId, current);
    this.context.leases.takeOwnWrite(current, this.context.entry.clock.now());
    return { applied: true, current };
  }
}

/** Whether an applied renewal still stands and was not followed by a fence or a newer incarnation. */
function isSameTerm(row: LeaseRow, written: Omit<LeaseRow, 'writeId'>): boolean {
  return row.incarnation === written.incarnation && row.state === LeaseState.Active;
}

/** Incarnations only rise, and a fenced one is never renewed. */
function isPermitted(parameters: LeaseRenewParameters, lease: KnownLease): boolean {
  if (parameters.incarnation < 1) {
    return false;
  }
  if (parameters.acquire) {
    return lease === null || parameters.incarnation > lease.value.incarnation;
  }
  return (
    lease !== null &&
    lease.value.incarnation === parameters.incarnation &&
    lease.value.state === LeaseState.Active
  );
}
