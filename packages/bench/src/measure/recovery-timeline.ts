/**
 * Samples of the table's load and of where tasks are, taken while VMs are lost and their tasks move.
 */
import { HttpTableService } from '@figjunction/store';
import type { Cluster, PlatformStats } from '@figjunction/test-support';
import { SCAN_ROWS_MAXIMUM, TASK_PREFIX, TaskState } from '@figjunction/types';
import type { AgentId, KindName, TaskRow, VersionedRow } from '@figjunction/types';

const MILLISECONDS_PER_SECOND = 1_000;

/** Where the tasks of one kind are. */
export interface KindCounts {
  /** Running in their rows, on a VM that is lost. */
  lost: number;
  pending: number;
  running: number;
}

export interface RecoverySample {
  atMs: number;
  transactions: number;
  rowsWritten: number;
  throttled: number;
  byKind: Map<KindName, KindCounts>;
}

export interface PeakLoad {
  transactionsPerSecond: number;
  rowsPerSecond: number;
}

export async function takeSample(
  cluster: Cluster,
  table: HttpTableService,
  lostAgents: ReadonlySet<AgentId>,
): Promise<RecoverySample> {
  const stats: PlatformStats = await cluster.platformControl.readStats();
  const atMs = performance.now();
  const byKind = countByKind(await readTasks(table), lostAgents);
  const { transactions, rowsWritten, throttled } = stats;
  return { atMs, transactions, rowsWritten, throttled, byKind };
}

async function readTasks(table: HttpTableService): Promise<TaskRow[]> {
  const tasks: TaskRow[] = [];
  let after: string | null = '';
  while (after !== null) {
    const page: { rows: VersionedRow<TaskRow>[]; nextAfter: string | null } =
      await table.scan<TaskRow>({ prefix: TASK_PREFIX, after, limit: SCAN_ROWS_MAXIMUM });
    tasks.push(...page.rows.map(({ value }) => value));
    after = page.nextAfter;
  }
  return tasks;
}

export function countByKind(
  tasks: Pick<TaskRow, 'kind' | 'state' | 'holder'>[],
  lostAgents: ReadonlySet<AgentId>,
): Map<KindName, KindCounts> {
  const byKind = new Map<KindName, KindCounts>();
  for (const { kind, state, holder } of tasks) {
    const counts = byKind.get(kind) ?? { lost: 0, pending: 0, running: 0 };
    byKind.set(kind, counts);
    if (state === TaskState.Pending) {
      counts.pending += 1;
    } else if (state === TaskState.Running && holder !== null) {
      counts[lostAgents.has(holder.agentId) ? 'lost' : 'running'] += 1;
    }
  }
  return byKind;
}

/** The highest rates over any span of at least one second between two samples of the window. */
export function peakLoad(samples: RecoverySample[], fromMs: number, toMs: number): PeakLoad {
  const window = samples.filter(({ atMs }) => atMs >= fromMs && atMs <= toMs);
  const peak: PeakLoad = { transactionsPerSecond: 0, rowsPerSecond: 0 };
  window.forEach((last, index) => {
    const earlier = window.slice(0, index);
    const first = earlier.reverse().find(({ atMs }) => last.atMs - atMs >= MILLISECONDS_PER_SECOND);
    if (first !== undefined) {
      const seconds = (last.atMs - first.atMs) / MILLISECONDS_PER_SECOND;
      const transactions = (last.transactions - first.transactions) / seconds;
      const rows = (last.rowsWritten - first.rowsWritten) / seconds;
      peak.transactionsPerSecond = Math.max(peak.transactionsPerSecond, transactions);
      peak.rowsPerSecond = Math.max(peak.rowsPerSecond, rows);
    }
  });
  return peak;
}
