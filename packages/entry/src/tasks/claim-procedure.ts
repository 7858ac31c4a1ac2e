/**
 * Places tasks on one agent: reserves capacity there, claims the rows that the agent admitted, and hints
 * the agent to start them. The claim's transaction checks that the agent's lease row is the one that was
 * just read as active, so a fenced agent can never become the holder.
 */
import type { Placement } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, LeaseState, RpcMethod, TaskState, TaskType } from '@figjunction/types';
import type { Holder, LeaseRow, TaskRow, VersionedRow } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import type { LeaseReader } from './lease-reader.js';
import { configurationOf, scopeOf, createTaskDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { shardOfRow } from './task-identifiers.js';
import type { TaskEntry } from './task-table.js';
import { TaskWriteKind } from './task-store.js';

/** The agent drops a reservation that is not started in this time. */
const RESERVATION_MS = 5_000;
const RESERVE_TIMEOUT_MS = 1_000;
/** Leaves time within the reservation for the start hint. */
const CLAIM_TIMEOUT_MS = 3_000;
/** A renewal between the read of the lease and the claim makes the check fail. */
const CLAIM_ATTEMPTS_MAXIMUM = 4;

interface Candidate {
  placement: Placement;
  entry: TaskEntry;
}

export class ClaimProcedure {
  constructor(
    private readonly context: TaskContext,
    private readonly leaseReader: LeaseReader,
  ) {}

  /** Returns false when the agent did not answer. */
  async place(agent: KnownAgent, placements: Placement[]): Promise<boolean> {
    const deadline = this.context.entry.clock.now() + RESERVATION_MS;
    const candidates = this.takeCandidates(placements);
    try {
      this.noteReservations(agent, candidates, deadline);
      const admitted = await this.reserve(agent, candidates);
      if (admitted === null) {
        return false;
      }
      await Promise.all(admitted.map((candidate) => this.claim(agent, candidate, deadline)));
      return true;
    } finally {
      candidates.forEach(({ entry }) => this.context.store.clearBusy(entry.key));
    }
  }

  private takeCandidates(placements: Placement[]): Candidate[] {
    const { store } = this.context;
    return placements.flatMap((placement) => {
      const entry = store.rows.get(placement.task.key);
      const isFree =
        entry?.value.state === TaskState.Pending && store.tryMarkBusy(placement.task.key);
      return isFree ? [{ placement, entry }] : [];
    });
  }

  private noteReservations(agent: KnownAgent, candidates: Candidate[], deadline: Instant): void {
    for (const { placement, entry } of candidates) {
      this.context.reservations.add({
        key: entry.key,
        agentId: agent.agentId,
        kind: entry.value.kind,
        team: entry.value.team,
        size: placement.task.size,
        respondedAt: Number.POSITIVE_INFINITY,
        deadline,
      });
    }
  }

  /** The candidates that the agent admitted; null when it did not answer. */
  private async reserve(agent: KnownAgent, candidates: Candidate[]): Promise<Candidate[] | null> {
    const { entry, reservations, failures, refusals: memory } = this.context;
    try {
      const { refusals } = await entry.rpc.call(
        agent.address,
        RpcMethod.TaskReserve,
        {
          incarnation: agent.incarnation,
          reservations: candidates.map(({ placement, entry: { value } }) => ({
            taskId: value.taskId,
            attempt: value.attempt + 1,
            type: value.type,
            kind: value.kind,
            size: placement.task.size,
            isSizeKnown: placement.task.isSizeKnown,
          })),
          remainingMs: RESERVATION_MS,
          revision: entry.configuration.revision(),
        },
        { timeoutMs: RESERVE_TIMEOUT_MS },
      );
      const answeredAt = entry.clock.now();
      for (const reservation of reservations.ofAgent(agent.agentId)) {
        reservation.respondedAt = Math.min(reservation.respondedAt, answeredAt);
      }
      return candidates.filter(({ entry: { key, value } }, index) => {
        const refusal = refusals[index] ?? null;
        if (refusal === null) {
          failures.recordStart(agent.agentId, value.kind, answeredAt);
          memory.noteAdmission(agent.agentId, value.kind);
          return true;
        }
        entry.metrics.count('reservations_refused_total');
        memory.noteRefusal(entry.agents.get(agent.agentId) ?? agent, value.kind, answeredAt);
        reservations.remove(agent.agentId, key);
        return false;
      });
    } catch {
      entry.metrics.count('reservations_failed_total');
      candidates.forEach(({ entry: { key } }) => reservations.remove(agent.agentId, key));
      return null;
    }
  }

  private async claim(agent: KnownAgent, candidate: Candidate, deadline: Instant): Promise<void> {
    const { context } = this;
    const { key, value } = candidate.entry;
    try {
      const claimed = await this.writeClaim(agent, candidate, deadline);
      if (claimed === null) {
        context.entry.metrics.count('claims_lost_total');
        context.reservations.remove(agent.agentId, key);
        return;
      }
      context.entry.metrics.count('claims_total');
      context.entry.metrics.recordLatency(
        'task_start_delay',
        Math.max(0, context.entry.clock.wallTimeMs() - value.submittedAtMs),
        { urgency: value.urgency },
      );
      const { holder, taskId, attempt } = claimed;
      if (claimed.type === TaskType.Instance) {
        context.instanceStarts.note(key, attempt, context.entry.clock.now());
      }
      if (holder !== null) {
        context.orders.start({ holder, key, taskId, attempt });
      }
    } catch (error) {
      // The claim may have taken effect; the row tells.
      context.reservations.remove(agent.agentId, key);
      context.shards.notify([shardOfRow(value)]);
      throw error;
    }
  }

  /** The claimed row, or null when another process changed it or the agent lost its lease. */
  private async writeClaim(
    agent: KnownAgent,
    { placement, entry }: Candidate,
    deadline: Instant,
  ): Promise<TaskRow | null> {
    const { clock, configuration } = this.context.entry;
    const holder: Holder = { agentId: agent.agentId, incarnation: agent.incarnation };
    for (let attempt = 0; attempt < CLAIM_ATTEMPTS_MAXIMUM; attempt += 1) {
      const lease = await this.leaseReader.read(agent.agentId);
      const timeoutMs = Math.min(CLAIM_TIMEOUT_MS, deadline - clock.now());
      if (!isHeldBy(lease, holder) || timeoutMs <= 0 || !configuration.isConfirmed(clock.now())) {
        return null;
      }
      const value = this.claimedRow(placement, entry, holder);
      const result = await this.context.store.write(entry.key, entry, value, {
        kind: TaskWriteKind.Claim,
        checks: [{ key: lease.key, version: lease.version }],
        timeoutMs,
      });
      if (result.applied) {
        return value;
      }
      if (result.current?.version !== entry.version) {
        return null;
      }
      this.context.entry.metrics.count('claims_repeated_total');
    }
    return null;
  }

  private claimedRow(placement: Placement, { value }: TaskEntry, holder: Holder): TaskRow {
    const decision = createTaskDecision(this.context.entry, value, {
      kind: DecisionKind.Place,
      decision: `Placed on ${holder.agentId}`,
      inputs: placement.inputs,
      rejected: placement.rejected,
    });
    this.context.entry.decisions.add(decision);
    const configuration = configurationOf(this.context);
    const scope = configuration === null ? undefined : scopeOf(configuration, value);
    return {
      ...value,
      state: TaskState.Running,
      attempt: value.attempt + 1,
      holder,
      declaredSize: scope?.size ?? value.declaredSize,
      reason: null,
      lastDecision: decision,
    };
  }
}

function isHeldBy(
  lease: VersionedRow<LeaseRow> | null,
  holder: Holder,
): lease is VersionedRow<LeaseRow> {
  return (
    lease !== null &&
    lease.value.state === LeaseState.Active &&
    lease.value.incarnation === holder.incarnation
  );
}
