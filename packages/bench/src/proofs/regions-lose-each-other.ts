/**
 * The regions lose each other while runs execute in both: the processes of the region without the store
 * reach neither the other region nor the platform for a lease and its margin, and until the other region has
 * taken over all of their runs. Then the link returns.
 */
import { ExecutionEvent, waitUntil } from '@figjunction/test-support';
import type { ClusterOptions, ExecutionRecord } from '@figjunction/test-support';
import { SystemClock } from '@figjunction/time';
import { TaskState } from '@figjunction/types';
import type { BatchCluster } from './batch-cluster.js';
import { ProofError, checkEachOnce, checkOnePlace } from './execution-intervals.js';

const STORE_REGION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
const LOST_REGION = { region: 'ege', dataCentre: 'izmir', rack: 'izmir-1' };
const LOCATIONS = [STORE_REGION, LOST_REGION];
const AGENTS = 4;
const STORE_AGENTS = [0, 2];

export const REGION_OPTIONS: ClusterOptions = {
  entries: 2,
  agents: AGENTS,
  entryLocations: LOCATIONS,
  agentLocations: LOCATIONS,
  withPlatformRelays: true,
  withEntryRelays: true,
  withAgentRelays: true,
};

/** Few enough that the region with the store has room for all of them. */
const RUNS = 12;

/** Longer than a lease, so that no run of the lost region ends on its worker unreported. */
const RUN_MS = 16_000;

/** A lease may be fenced earlier than this after a cut, since it counts from the last renewal before. */
const LEASE_WITH_MARGIN_MS = 11_000;
const TAKE_OVER_TIMEOUT_MS = 60_000;

const STORE_ENTRY = 0;
const JOB = 'region-cut';

export async function regionsLoseEachOther(cluster: BatchCluster): Promise<void> {
  const { relays } = cluster.processes;
  const clock = new SystemClock();
  const taskIds = await startInLostRegion(cluster);
  const lost = new Set((await cluster.readLog()).filter(isInLostRegion).map(taskIdOf));
  if (lost.size === 0) {
    throw new ProofError('no run started in the lost region, so the proof shows nothing');
  }
  relays.cutRegion(LOST_REGION.region);
  const cutAt = clock.now();
  const isLongEnough = (): boolean => clock.now() - cutAt > LEASE_WITH_MARGIN_MS;
  await waitUntil(async () => isTakenOver(await cluster.readLog(), lost) && isLongEnough(), {
    timeoutMs: TAKE_OVER_TIMEOUT_MS,
    what: `the other region takes over ${lost.size} runs`,
  });
  relays.restoreRegions();
  await cluster.waitForState(JOB, TaskState.Completed, RUNS, STORE_ENTRY);
  checkOnePlace(await cluster.readLog());
  await waitUntil(async () => lostRegionIsClear(await cluster.readLog()), {
    what: 'the workers of the lost region gave up their runs',
  });
  const records = await cluster.readLog();
  checkOnePlace(records);
  checkEachOnce(records, taskIds);
}

/** The other agents are drained meanwhile, so that the runs cannot all start in the region that stays. */
async function startInLostRegion(cluster: BatchCluster): Promise<string[]> {
  await cluster.waitForAgents(AGENTS);
  await Promise.all(STORE_AGENTS.map((index) => cluster.drain(index, true)));
  await cluster.waitForAgents(AGENTS - STORE_AGENTS.length);
  const taskIds = await cluster.submit(JOB, RUNS, RUN_MS, STORE_ENTRY);
  await cluster.waitForStarts(RUNS);
  await Promise.all(STORE_AGENTS.map((index) => cluster.drain(index, false)));
  await cluster.waitForAgents(AGENTS);
  return taskIds;
}

/** Every run of the lost region is suspended there and has started in the other region. */
function isTakenOver(records: ExecutionRecord[], lost: Set<string>): boolean {
  const suspended = records.filter(
    (record) => isInLostRegion(record) && record.event === ExecutionEvent.TaskSuspend,
  );
  const takenOver = records.filter(
    (record) =>
      !isInLostRegion(record) &&
      record.event === ExecutionEvent.TaskStart &&
      lost.has(record.taskId),
  );
  return [suspended, takenOver].every((some) => new Set(some.map(taskIdOf)).size === lost.size);
}

/** After the link returned, the agents there learn that they were fenced, and stop what they held. */
function lostRegionIsClear(records: ExecutionRecord[]): boolean {
  const own = records.filter(isInLostRegion);
  const countOf = (event: ExecutionEvent): number =>
    own.filter((record) => record.event === event).length;
  return countOf(ExecutionEvent.TaskStart) === countOf(ExecutionEvent.TaskStop);
}

/** Agents are in the regions in turn. */
function isInLostRegion({ workerId }: ExecutionRecord): boolean {
  const index = Number(workerId.replace('vm-', '')) - 1;
  return LOCATIONS[index % LOCATIONS.length] === LOST_REGION;
}

function taskIdOf({ taskId }: ExecutionRecord): string {
  return taskId;
}
