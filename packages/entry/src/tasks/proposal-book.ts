/**
 * Proposals: placements in scopes that require approval. A proposal is a row; it takes effect once a
 * configuration in force names its id. It expires when its task moves on or its VM is gone.
 */
import { createHash } from 'node:crypto';
import type { Placement } from '@figjunction/decisions';
import { deadlineAfter } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import {
  ABSENT_VERSION,
  DecisionKind,
  ExplainSubject,
  PROPOSAL_PREFIX,
  ProposalState,
  SCAN_ROWS_MAXIMUM,
  TaskState,
  proposalKey,
} from '@figjunction/types';
import type { ProposalRow, TaskRow, VersionedRow } from '@figjunction/types';
import { configurationOf, runInBackground, createTaskDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { keyOfTaskId, shardOfKey } from './task-identifiers.js';
import type { TaskEntry } from './task-table.js';

type ProposalEntry = VersionedRow<ProposalRow>;

const SCAN_INTERVAL_MS = 5_000;
const WRITE_TIMEOUT_MS = 5_000;
const ID_LENGTH = 16;
/** A VM that was silent for this long does not get the task any more. */
const VM_GONE_MS = 60_000;

export class ProposalBook {
  private readonly byTask = new Map<string, ProposalEntry[]>();

  private nextScan: Instant = Number.NEGATIVE_INFINITY;

  private loaded = false;

  private readonly missingSince = new Map<string, Instant>();

  constructor(private readonly context: TaskContext) {}

  /** The proposal for the next attempt of a task that the configuration in force approves. */
  approvedFor(row: TaskRow): ProposalRow | null {
    const approved = configurationOf(this.context)?.approvedProposals ?? [];
    return this.openFor(row).find(({ proposalId }) => approved.includes(proposalId)) ?? null;
  }

  /** Whether a proposal for the next attempt exists; before the first scan this is not known. */
  hasOpen(row: TaskRow): boolean {
    return !this.loaded || this.openFor(row).length > 0;
  }

  /** Reads the proposals now and then, and ends those that can no longer take effect. */
  run(now: Instant): void {
    if (now < this.nextScan) {
      return;
    }
    this.nextScan = now + SCAN_INTERVAL_MS;
    runInBackground(this.context, 'scan-proposals', async () => {
      await this.scan();
      this.settleAll(this.context.entry.clock.now());
    });
  }

  async propose({ key, value }: TaskEntry, placement: Placement): Promise<void> {
    const { clock, configuration, decisions, logger } = this.context.entry;
    const attempt = value.attempt + 1;
    const proposalId = proposalIdOf(value.taskId, attempt, placement.agentId);
    const explanation = {
      ...createTaskDecision(this.context.entry, value, {
        kind: DecisionKind.Propose,
        decision: `Proposes ${value.taskId} on ${placement.agentId}; approve it by naming ${proposalId}`,
        inputs: placement.inputs,
        rejected: placement.rejected,
      }),
      subject: ExplainSubject.Proposal,
      subjectId: proposalId,
    };
    const row: ProposalRow = {
      writeId: '',
      proposalId,
      taskId: value.taskId,
      attempt,
      kind: value.kind,
      team: value.team,
      agentId: placement.agentId,
      state: ProposalState.Open,
      revision: configuration.revision(),
      explanation,
      createdAtMs: clock.wallTimeMs(),
    };
    if (!this.context.store.tryMarkBusy(key)) {
      return;
    }
    try {
      const written = await this.write(row, null);
      if (written) {
        decisions.add(explanation);
        decisions.add({ ...explanation, subject: ExplainSubject.Run, subjectId: value.taskId });
        logger.info({ proposalId, taskId: value.taskId }, 'proposal opened');
      }
    } finally {
      this.context.store.clearBusy(key);
    }
  }

  private openFor(row: TaskRow): ProposalRow[] {
    return (this.byTask.get(row.taskId) ?? [])
      .map(({ value }) => value)
      .filter(({ state, attempt }) => state === ProposalState.Open && attempt === row.attempt + 1);
  }

  private async scan(): Promise<void> {
    const found: ProposalEntry[] = [];
    let after: string | null = '';
    while (after !== null) {
      const page: { rows: ProposalEntry[]; nextAfter: string | null } =
        await this.context.entry.table.scan<ProposalRow>({
          prefix: PROPOSAL_PREFIX,
          after,
          limit: SCAN_ROWS_MAXIMUM,
        });
      found.push(...page.rows);
      after = page.nextAfter;
    }
    this.byTask.clear();
    found.forEach((entry) => this.remember(entry));
    this.loaded = true;
  }

  private remember(entry: ProposalEntry): void {
    const others = (this.byTask.get(entry.value.taskId) ?? []).filter(
      ({ key }) => key !== entry.key,
    );
    this.byTask.set(entry.value.taskId, [...others, entry]);
  }

  private settleAll(now: Instant): void {
    for (const entry of [...this.byTask.values()].flat()) {
      const key = keyOfTaskId(entry.value.taskId);
      const shard = key === null ? null : shardOfKey(key);
      if (
        key !== null &&
        shard !== null &&
        entry.value.state === ProposalState.Open &&
        this.context.shards.isServed(shard)
      ) {
        const state = this.nextState(entry.value, this.context.store.rows.get(key)?.value, now);
        if (state !== null) {
          runInBackground(this.context, 'settle-proposal', async () => {
            await this.write({ ...entry.value, state }, entry);
          });
        }
      }
    }
  }

  /** The state an open proposal moves to; null while it stays open. */
  private nextState(
    proposal: ProposalRow,
    task: TaskRow | undefined,
    now: Instant,
  ): ProposalState | null {
    if (task === undefined) {
      return ProposalState.Expired;
    }
    if (task.attempt >= proposal.attempt) {
      const approved = configurationOf(this.context)?.approvedProposals ?? [];
      return approved.includes(proposal.proposalId)
        ? ProposalState.Approved
        : ProposalState.Expired;
    }
    const isOpen = task.state === TaskState.Pending || task.state === TaskState.Held;
    return !isOpen || this.isVmGone(proposal.agentId, now) ? ProposalState.Expired : null;
  }

  private isVmGone(agentId: string, now: Instant): boolean {
    if (this.context.entry.agents.get(agentId) !== undefined) {
      this.missingSince.delete(agentId);
      return false;
    }
    const since = this.missingSince.get(agentId) ?? now;
    this.missingSince.set(agentId, since);
    return now - since >= VM_GONE_MS;
  }

  private async write(row: ProposalRow, before: ProposalEntry | null): Promise<boolean> {
    const key = proposalKey(row.proposalId);
    const outcome = await this.context.leaseWriter.submit({
      key,
      expectedVersion: before?.version ?? ABSENT_VERSION,
      value: row,
      deadline: deadlineAfter(this.context.entry.clock, WRITE_TIMEOUT_MS),
    });
    const current = outcome.current as ProposalEntry | null;
    if (current !== null) {
      this.remember(current);
    }
    return outcome.applied;
  }
}

function proposalIdOf(taskId: string, attempt: number, agentId: string): string {
  const hash = createHash('sha256').update(`${taskId}\n${attempt}\n${agentId}`).digest('hex');
  return `proposal-${hash.slice(0, ID_LENGTH)}`;
}
