/**
 * Repairs lost orders by comparing heartbeats with rows: sends the start hint again for a row that names
 * an agent which does not list the task, and a stop order for a listed task that the row does not give to
 * the agent. A stop order needs a fresh read of the row, since the copy here may be older than the claim.
 */
import type { Instant } from '@figjunction/time';
import { TaskState } from '@figjunction/types';
import type { HeldTask, TaskRow } from '@figjunction/types';
import type { KnownAgent } from '../agent-directory.js';
import { isSurplusInstance } from './instance-rules.js';
import { configurationOf, runInBackground } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { keyOfTaskId, shardOfKey, shardOfRow } from './task-identifiers.js';
import type { TaskEntry } from './task-table.js';

/** Covers the first hint, the agent's read of the row and its next heartbeat. */
const START_PATIENCE_MS = 3_000;
const START_REPEAT_MS = 3_000;
/** Covers a report that is on its way. */
const STOP_PATIENCE_MS = 2_000;
const STOP_REPEAT_MS = 5_000;

interface Difference {
  nextOrder: Instant;
  seenInRun: number;
}

export class OrderRepair {
  private readonly differences = new Map<string, Difference>();

  private runs = 0;

  constructor(private readonly context: TaskContext) {}

  run(now: Instant): void {
    this.runs += 1;
    const suspects: { agent: KnownAgent; task: HeldTask; key: string }[] = [];
    for (const agent of this.context.entry.agents.all()) {
      this.repairStarts(agent, now);
      for (const task of agent.tasks) {
        const key = keyOfTaskId(task.taskId);
        if (key !== null && this.isSuspect(agent, task, key, now)) {
          suspects.push({ agent, task, key });
        }
      }
    }
    this.forgetSettled();
    if (suspects.length > 0) {
      runInBackground(this.context, 'repair-stops', async () => {
        const rows = await this.context.store.refreshAll(suspects.map(({ key }) => key));
        suspects.forEach(({ agent, task }, index) => {
          if (isNotGiven(rows[index]?.value, agent, task)) {
            this.stop(agent, task, rows[index]?.value);
          }
        });
      });
    }
  }

  private repairStarts(agent: KnownAgent, now: Instant): void {
    const listed = new Set(agent.tasks.map(({ taskId, attempt }) => `${taskId}/${attempt}`));
    for (const entry of this.context.store.rows.heldBy(agent.agentId)) {
      const { taskId, attempt, holder } = entry.value;
      const isMissing =
        holder?.incarnation === agent.incarnation && !listed.has(`${taskId}/${attempt}`);
      const name = `start/${entry.key}/${attempt}`;
      if (isMissing && this.mayStart(entry, now) && this.isDue(name, now, START_PATIENCE_MS)) {
        this.differences.set(name, { nextOrder: now + START_REPEAT_MS, seenInRun: this.runs });
        this.context.entry.metrics.count('start_hints_repeated_total');
        this.context.orders.start({ holder, key: entry.key, taskId, attempt });
      }
    }
  }

  private mayStart({ key, value }: TaskEntry, now: Instant): boolean {
    const configuration = configurationOf(this.context);
    return (
      configuration !== null &&
      this.context.entry.configuration.isConfirmed(now) &&
      !this.context.store.isBusy(key) &&
      this.context.shards.isServed(shardOfRow(value)) &&
      !isSurplusInstance(configuration, value)
    );
  }

  private isSuspect(agent: KnownAgent, task: HeldTask, key: string, now: Instant): boolean {
    const shard = shardOfKey(key);
    if (shard === null || !this.context.shards.isServed(shard)) {
      return false;
    }
    const row = this.context.store.rows.get(key)?.value;
    const name = `stop/${key}/${task.attempt}/${agent.agentId}`;
    if (!isNotGiven(row, agent, task) || !this.isDue(name, now, STOP_PATIENCE_MS)) {
      return false;
    }
    this.differences.set(name, { nextOrder: now + STOP_REPEAT_MS, seenInRun: this.runs });
    return true;
  }

  private stop(agent: KnownAgent, { taskId, attempt }: HeldTask, row: TaskRow | undefined): void {
    this.context.entry.metrics.count('stop_orders_repaired_total', {
      row: row?.state ?? 'absent',
    });
    this.context.orders.stop({
      holder: { agentId: agent.agentId, incarnation: agent.incarnation },
      taskId,
      attempt,
      checkpoint: false,
      reason: `the row says ${row?.state ?? 'that the task does not exist'}`,
    });
  }

  /** Whether a difference was seen in every run for long enough and no order was sent lately. */
  private isDue(name: string, now: Instant, patienceMs: number): boolean {
    const known = this.differences.get(name);
    if (known === undefined) {
      this.differences.set(name, { nextOrder: now + patienceMs, seenInRun: this.runs });
      return false;
    }
    known.seenInRun = this.runs;
    return now >= known.nextOrder;
  }

  private forgetSettled(): void {
    for (const [name, { seenInRun }] of this.differences) {
      if (seenInRun !== this.runs) {
        this.differences.delete(name);
      }
    }
  }
}

/** Whether a row does not give a listed task to the agent, now or by a claim in progress. */
function isNotGiven(row: TaskRow | undefined, agent: KnownAgent, task: HeldTask): boolean {
  if (row === undefined) {
    return true;
  }
  if (task.attempt > row.attempt) {
    // A reservation, or a claim newer than this copy.
    return false;
  }
  if (row.state === TaskState.Completed && row.attempt === task.attempt) {
    // The agent keeps a completed task listed until its last measurement has arrived.
    return false;
  }
  return (
    task.attempt < row.attempt ||
    row.state !== TaskState.Running ||
    row.holder?.agentId !== agent.agentId
  );
}
