/**
 * Reads all leases every two seconds, fences expired ones, and requeues the tasks of fenced holders. Each
 * entry counts for itself; the entry that ranks first for an agent fences it, and shard owners requeue.
 */
import { deadlineAfter } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import {
  DecisionKind,
  LEASE_PREFIX,
  LeaseState,
  SCAN_ROWS_MAXIMUM,
  TaskState,
  leaseKey,
} from '@figjunction/types';
import type { LeaseRow, VersionedRow } from '@figjunction/types';
import type { TrackedLease } from './lease-tracker.js';
import { runInBackground, createTaskDecision, createVmDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { shardOfRow } from './task-identifiers.js';
import type { TaskEntry } from './task-table.js';

type LeaseEntry = VersionedRow<LeaseRow>;

/** Fencing must not outlast the read that justified it: a renewal could be waiting for the table too. */
const FENCE_TIMEOUT_MS = 1_000;
const REQUEUE_TIMEOUT_MS = 5_000;
/** Bounds the writes that one run starts when many tasks must be requeued at once. */
const REQUEUES_MAXIMUM = 256;

export class LeaseRecovery {
  private scanning = false;

  private readonly fencing = new Set<string>();

  constructor(private readonly context: TaskContext) {}

  /** Starts a scan unless one is in progress. */
  scan(): void {
    if (this.scanning) {
      return;
    }
    this.scanning = true;
    runInBackground(this.context, 'scan-leases', async () => {
      try {
        await this.readLeases();
        this.fenceExpired();
      } finally {
        this.scanning = false;
      }
    });
  }

  /** Requeues tasks whose holder is fenced. */
  requeue(now: Instant): void {
    const { rows } = this.context.store;
    let requeues = 0;
    for (const agentId of rows.holders()) {
      for (const entry of rows.heldBy(agentId)) {
        if (requeues < REQUEUES_MAXIMUM && this.mustRequeue(entry, now)) {
          requeues += 1;
          this.requeueRow(entry);
        }
      }
    }
  }

  private async readLeases(): Promise<void> {
    const { clock, table } = this.context.entry;
    const startedAt = clock.now();
    const rows: LeaseEntry[] = [];
    let after: string | null = '';
    while (after !== null) {
      const page: { rows: LeaseEntry[]; nextAfter: string | null } = await table.scan<LeaseRow>({
        prefix: LEASE_PREFIX,
        after,
        limit: SCAN_ROWS_MAXIMUM,
      });
      rows.push(...page.rows);
      after = page.nextAfter;
    }
    this.context.leases.takeScan(rows, startedAt, clock.now());
  }

  private fenceExpired(): void {
    const { clock, peers } = this.context.entry;
    for (const lease of this.context.leases.expired(clock.now())) {
      const { agentId } = lease.row.value;
      if (peers.owns(`agent/${agentId}`) && !this.fencing.has(agentId)) {
        this.fencing.add(agentId);
        runInBackground(this.context, 'fence', async () => {
          try {
            await this.fence(lease);
          } finally {
            this.fencing.delete(agentId);
          }
        });
      }
    }
  }

  private async fence({ row, unchangedSince }: TrackedLease): Promise<void> {
    const { clock, metrics, logger, decisions } = this.context.entry;
    const { agentId, incarnation } = row.value;
    const value: LeaseRow = { ...row.value, state: LeaseState.Fenced };
    const outcome = await this.context.leaseWriter.submit({
      key: leaseKey(agentId),
      expectedVersion: row.version,
      value,
      deadline: deadlineAfter(clock, FENCE_TIMEOUT_MS),
    });
    if (!outcome.applied) {
      return;
    }
    this.context.leases.takeOwnWrite(
      { key: row.key, version: outcome.version, value },
      clock.now(),
    );
    metrics.count('leases_fenced_total');
    logger.warn({ agentId, incarnation }, 'lease fenced');
    decisions.add(
      createVmDecision(this.context.entry, agentId, {
        kind: DecisionKind.Fence,
        decision: `Fenced incarnation ${incarnation} of ${agentId}`,
        inputs: [{ name: 'unchangedMs', value: Math.round(clock.now() - unchangedSince) }],
      }),
    );
  }

  private mustRequeue(entry: TaskEntry, now: Instant): boolean {
    const { value, key } = entry;
    return (
      value.holder !== null &&
      this.context.leases.isFenced(value.holder, now) &&
      !this.context.store.isBusy(key) &&
      this.context.shards.isServed(shardOfRow(value))
    );
  }

  private requeueRow(entry: TaskEntry): void {
    const { entry: shared, store } = this.context;
    const { value, key } = entry;
    const decision = createTaskDecision(shared, value, {
      kind: DecisionKind.Requeue,
      decision: `Requeued because incarnation ${value.holder?.incarnation} of ${value.holder?.agentId} is fenced`,
      inputs: [
        { name: 'attempt', value: value.attempt },
        { name: 'hasCheckpoint', value: value.checkpointKey !== null },
      ],
    });
    runInBackground(this.context, 'requeue', async () => {
      const { applied } = await store.write(
        key,
        entry,
        { ...value, state: TaskState.Pending, holder: null, lastDecision: decision },
        { timeoutMs: REQUEUE_TIMEOUT_MS },
      );
      if (applied) {
        shared.decisions.add(decision);
        shared.metrics.count('tasks_requeued_total');
      }
    });
  }
}
