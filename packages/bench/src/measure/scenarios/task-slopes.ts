/**
 * Stands for the growth of the task table: one entry that owns all shards, restarted with three numbers of
 * pending rows which no VM has room for. Shows memory, processor time and table load per row, and how long
 * a restarted entry needs until it serves its shards. The rows are written straight to the table, as copies
 * of a submitted one. Left out are rows that run, that are submitted or that end, and their decision
 * records.
 */
import { HttpTableService } from '@figjunction/store';
import { waitUntil } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import {
  ABSENT_VERSION,
  SCAN_ROWS_MAXIMUM,
  SHARD_COUNT,
  TASK_PREFIX,
  TRANSACTION_ITEMS_MAXIMUM,
  TaskState,
} from '@figjunction/types';
import type { TableWrite, TaskRow } from '@figjunction/types';
import { slopeFigures } from '../line-fit.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { readEntryMetrics } from '../metrics-reader.js';
import { processorMs, residentMegabytes } from '../process-usage.js';
import type { Figures, Scenario } from '../scenario.js';
import { OVERNIGHT_KIND, tokenOf } from '../workload.js';

const ROW_COUNTS = [1_000, 4_000, 16_000];
const TEAM_COUNT = 50;
const AGENTS = 1;
/** Room for one task of the kind, not for two. */
const CAPACITY = { processorMillicores: 900, memoryMegabytes: 900, accelerators: 0 };
/** The one task that runs keeps its VM busy for the whole measurement. */
const TASK_DURATION_MS = 600_000;
const SETTLING_MS = 3_000;
const MEASURED_MS = 6_000;
const MILLISECONDS_PER_SECOND = 1_000;
const PERCENT = 100;
const BYTES_PER_MEGABYTE = 1024 * 1024;
const SERVE_TIMEOUT_MS = 20_000;
const SERVE_POLL_MS = 20;
/** Keeps the direct writes well under the limit of the fake table. */
const WRITE_PAUSE_MS = 5;

export const taskSlopes: Scenario = {
  name: 'task-slopes',
  summary: 'cost of an entry at three numbers of pending task rows, and of its restart',
  run: (run) => {
    const teams = Array.from({ length: TEAM_COUNT }, (_value, index) => `team-${index + 1}`);
    return withMeasuredCluster(
      {
        run,
        cluster: { entries: 1, agents: AGENTS, capacity: CAPACITY },
        workload: { instances: 0, teams },
      },
      async (cluster) => {
        const templates = await submitTemplates(cluster, teams);
        const costs: { size: number; figures: Figures }[] = [];
        for (const size of ROW_COUNTS) {
          await writeRows(cluster, templates, costs[costs.length - 1]?.size ?? TEAM_COUNT, size);
          costs.push({ size, figures: await measureRestarted(cluster, size) });
        }
        return {
          load: { rowCounts: ROW_COUNTS.join(', '), teams: TEAM_COUNT, entries: 1, agents: AGENTS },
          figures: slopeFigures('Row', costs),
        };
      },
    );
  },
};

/** One task of each team, submitted through the entry; returns the rows by key. */
async function submitTemplates(cluster: Cluster, teams: string[]): Promise<Map<string, TaskRow>> {
  for (const team of teams) {
    await cluster.entryClient().submit(
      {
        jobId: 'template',
        team,
        kind: OVERNIGHT_KIND,
        tasks: [{ name: 't0', parameters: { durationMs: String(TASK_DURATION_MS) } }],
      },
      tokenOf(team),
    );
  }
  const table = new HttpTableService({ address: cluster.platform.address });
  try {
    const page = { prefix: TASK_PREFIX, after: '', limit: SCAN_ROWS_MAXIMUM };
    const { rows } = await table.scan<TaskRow>(page);
    return new Map(rows.map(({ key, value }) => [key, value]));
  } finally {
    table.close();
  }
}

/** Adds pending copies of the templates, of each team in turn, until the table holds `size` rows. */
async function writeRows(
  cluster: Cluster,
  templates: Map<string, TaskRow>,
  present: number,
  size: number,
): Promise<void> {
  const table = new HttpTableService({ address: cluster.platform.address });
  const originals = [...templates];
  const writes: TableWrite[] = [];
  for (let index = present; index < size; index += 1) {
    const [key, row] = originals[index % originals.length] ?? [];
    if (key !== undefined && row !== undefined) {
      writes.push(copyOf(key, row, `-${index}`));
    }
  }
  try {
    for (let start = 0; start < writes.length; start += TRANSACTION_ITEMS_MAXIMUM) {
      const some = writes.slice(start, start + TRANSACTION_ITEMS_MAXIMUM);
      await table.transact({ checks: [], writes: some });
      await sleep(WRITE_PAUSE_MS);
    }
  } finally {
    table.close();
  }
}

function copyOf(key: string, row: TaskRow, suffix: string): TableWrite {
  const value: TaskRow = {
    ...row,
    taskId: `${row.taskId}${suffix}`,
    state: TaskState.Pending,
    attempt: 0,
    holder: null,
    lastDecision: null,
  };
  return { key: `${key}${suffix}`, expectedVersion: ABSENT_VERSION, value };
}

async function measureRestarted(cluster: Cluster, size: number): Promise<Figures> {
  await cluster.entries[0]?.kill();
  await cluster.platformControl.resetStats();
  const startedAt = performance.now();
  const { pid } = await cluster.startEntry(0);
  const listeningMs = performance.now() - startedAt;
  await waitUntil(() => servesAll(cluster, size), {
    timeoutMs: SERVE_TIMEOUT_MS,
    intervalMs: SERVE_POLL_MS,
    what: `the restarted entry serves ${size} rows`,
  });
  const servingMs = performance.now() - startedAt;
  const loading = await cluster.platformControl.readStats();
  await sleep(SETTLING_MS);
  const startMs = processorMs(pid);
  await cluster.platformControl.resetStats();
  await sleep(MEASURED_MS);
  const stats = await cluster.platformControl.readStats();
  const metrics = await readEntryMetrics(cluster);
  const perSecond = (count: number): number => (count * MILLISECONDS_PER_SECOND) / MEASURED_MS;
  return {
    rowsInMemory: metrics.get('task_rows') ?? null,
    entryPercentOfCore: ((processorMs(pid) - startMs) * PERCENT) / MEASURED_MS,
    entryMegabytes: residentMegabytes(pid),
    listeningMs,
    servingMs,
    readsToServe: loading.reads,
    megabytesReadToServe: loading.tableBytesRead / BYTES_PER_MEGABYTE,
    readsPerSecond: perSecond(stats.reads),
    rowsReadPerSecond: perSecond(stats.rowsRead),
    transactionsPerSecond: perSecond(stats.transactions),
    rowsWrittenPerSecond: perSecond(stats.rowsWritten),
    throttled: loading.throttled + stats.throttled,
  };
}

async function servesAll(cluster: Cluster, size: number): Promise<boolean> {
  const metrics = await readEntryMetrics(cluster);
  return metrics.get('shards_served') === SHARD_COUNT && (metrics.get('task_rows') ?? 0) >= size;
}
