/**
 * Forwards reports to the owners of their shards, so that the owner's cached rows change at once. A forwarded
 * report is not forwarded again, even when the two entries disagree about the owner. When the call to the
 * owner fails, this entry handles the report itself.
 */
import { RpcMethod } from '@figjunction/types';
import type { TaskReport, TaskReportParameters, TaskReportResult } from '@figjunction/types';
import type { RpcCallContext } from '@figjunction/rpc';
import { notifyOwners } from './shard-notices.js';
import type { TaskContext } from './task-context.js';
import { shardOfKey } from './task-identifiers.js';
import { handleReports } from './task-reports.js';

const FORWARDED_HEADER = 'figjunction-forwarded';
const FORWARD_TIMEOUT_MS = 1_500;

interface ReportGroup {
  /** Null for reports of shards that this entry owns. */
  ownerAddress: string | null;
  reports: { report: TaskReport; index: number }[];
}

export async function routeReports(
  context: TaskContext,
  parameters: TaskReportParameters,
  { headers }: RpcCallContext,
): Promise<TaskReportResult> {
  if (headers[FORWARDED_HEADER] !== undefined) {
    return handleReports(context, parameters);
  }
  const result: TaskReportResult = { settled: [], applied: [] };
  const groups = groupByOwner(context, parameters.reports);
  await Promise.all(
    groups.map(async (group) => {
      const response = await handleGroup(context, parameters.agentId, group);
      group.reports.forEach(({ index }, position) => {
        result.settled[index] = response.settled[position] ?? false;
        result.applied[index] = response.applied[position] ?? false;
      });
    }),
  );
  return result;
}

function groupByOwner(context: TaskContext, reports: TaskReport[]): ReportGroup[] {
  const { peers } = context.entry;
  const groups = new Map<string | null, ReportGroup>();
  reports.forEach((report, index) => {
    const shard = shardOfKey(report.key);
    const isOwn = shard === null || peers.ownsShard(shard);
    const ownerAddress = isOwn ? null : peers.ownerOfShard(shard).address;
    const group = groups.get(ownerAddress) ?? { ownerAddress, reports: [] };
    group.reports.push({ report, index });
    groups.set(ownerAddress, group);
  });
  return [...groups.values()];
}

async function handleGroup(
  context: TaskContext,
  agentId: string,
  group: ReportGroup,
): Promise<TaskReportResult> {
  const parameters = { agentId, reports: group.reports.map(({ report }) => report) };
  if (group.ownerAddress === null) {
    return handleReports(context, parameters);
  }
  try {
    return await context.entry.rpc.call(group.ownerAddress, RpcMethod.TaskReport, parameters, {
      timeoutMs: FORWARD_TIMEOUT_MS,
      headers: { [FORWARDED_HEADER]: 'true' },
    });
  } catch {
    context.entry.metrics.count('reports_not_forwarded_total');
    const result = await handleReports(context, parameters);
    const shards = parameters.reports.map(({ key }) => shardOfKey(key));
    notifyOwners(context, [...new Set(shards.filter((shard) => shard !== null))]);
    return result;
  }
}
