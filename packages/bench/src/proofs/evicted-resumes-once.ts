/**
 * Invariant 3: evicted work resumes exactly once. VMs are drained, so that their runs are checkpointed and
 * resume elsewhere, while answers of the table are lost, both entries race to resume, and the platform or
 * only its object store is down at the eviction.
 */
import { ExecutionEvent, waitUntil } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';
import { TaskState } from '@figjunction/types';
import { BatchCluster, runScenarios } from './batch-cluster.js';
import {
  ProofError,
  checkCheckpointsUsedOnce,
  checkEachOnce,
  checkNewestCheckpointUsed,
  checkNothingLost,
  checkOnePlace,
} from './execution-intervals.js';
import type { Proof } from './proof.js';

const RUNS = 16;
const RUN_MS = 8_000;
/** The filler ends only by its cancellation. */
const FILLER_MS = 120_000;
const LOST_ANSWERS = 6;
const OUTAGE_MS = 4_000;
/** Refused calls that show that several runs, or one run several times, could not be checkpointed. */
const REFUSALS_MINIMUM = 8;
const EVICTION_TIMEOUT_MS = 30_000;

async function checkLog(cluster: BatchCluster, taskIds: string[]): Promise<void> {
  const records = await cluster.readLog();
  checkOnePlace(records);
  checkEachOnce(records, taskIds);
  checkNothingLost(records);
  checkNewestCheckpointUsed(records);
  if (checkCheckpointsUsedOnce(records) === 0) {
    throw new ProofError('no run was evicted, so the proof shows nothing');
  }
}

/** Answers of the requeueing writes and of the claims that follow are lost. */
async function answersAreLost(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('lost-answers', RUNS, RUN_MS);
  await cluster.waitForStarts(RUNS);
  const [drained = 0] = await cluster.holdersOf('lost-answers');
  await cluster.processes.platformControl.setFaults({ loseAnswers: LOST_ANSWERS });
  await cluster.drain(drained, true);
  await cluster.waitForState('lost-answers', TaskState.Completed, RUNS);
  await checkLog(cluster, taskIds);
}

/**
 * Evicted runs wait for room when their entry is paused. Its successor resumes them in the room of a
 * cancelled job; then the paused entry goes on and still takes them for waiting.
 */
async function twoResumers(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('two-resumers', RUNS, RUN_MS * 2);
  await cluster.submit('filler', RUNS, FILLER_MS);
  await cluster.waitForStarts(RUNS * 2);
  const placing = await cluster.placingEntry();
  const other = placing === 0 ? 1 : 0;
  const [drained = 0] = await cluster.holdersOf('two-resumers');
  await cluster.drain(drained, true, other);
  await cluster.waitForState('two-resumers', TaskState.Pending, 2, other);
  cluster.processes.entries[placing]?.pause();
  await cluster.cancel('filler', other);
  await cluster.waitForJob(
    'two-resumers',
    ({ tasks }) => tasks.some(({ attempt }) => attempt > 1),
    'the other entry resumes the evicted runs',
    other,
  );
  cluster.processes.entries[placing]?.continue();
  await cluster.waitForState('two-resumers', TaskState.Completed, RUNS, other);
  await checkLog(cluster, taskIds);
}

/** Neither checkpoints nor rows can be written when the eviction begins; the runs go on until they can. */
async function platformIsDown(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('platform-down', RUNS, RUN_MS * 2);
  await cluster.waitForStarts(RUNS);
  const [drained = 0] = await cluster.holdersOf('platform-down');
  await cluster.processes.platformControl.setFaults({ outage: true });
  await cluster.drain(drained, true);
  await sleep(OUTAGE_MS);
  await cluster.processes.platformControl.setFaults({ outage: false });
  await cluster.waitForState('platform-down', TaskState.Completed, RUNS);
  await checkLog(cluster, taskIds);
}

/**
 * Runs are evicted twice, the second time while only the object store is down. Meanwhile they must go on
 * where they are, since their last checkpoint is older than their progress.
 */
async function objectStoreIsDown(cluster: BatchCluster): Promise<void> {
  const job = 'store-down';
  const platform = cluster.processes.platformControl;
  const taskIds = await cluster.submit(job, RUNS, RUN_MS * 2);
  await cluster.waitForStarts(RUNS);
  const [first = 0] = await cluster.holdersOf(job);
  await cluster.drain(first, true);
  await waitForEviction(cluster, first);
  await cluster.drain(first, false);
  const [second = 1] = (await cluster.holdersOf(job)).filter((index) => index !== first);
  await platform.setFaults({ objectOutage: true });
  const stopsBefore = await countStops(cluster);
  const refusedBefore = (await platform.readStats()).objectsRefused;
  await cluster.drain(second, true);
  await waitUntil(
    async () => (await platform.readStats()).objectsRefused >= refusedBefore + REFUSALS_MINIMUM,
    { what: 'checkpoints are refused' },
  );
  const stopped = (await countStops(cluster)) - stopsBefore;
  await platform.setFaults({ objectOutage: false });
  if (stopped > 0) {
    throw new ProofError(`${stopped} runs were stopped without a new checkpoint`);
  }
  await waitForEviction(cluster, second);
  await cluster.waitForState(job, TaskState.Completed, RUNS);
  await checkLog(cluster, taskIds);
}

/** Waits until every run that a VM had goes on elsewhere or is complete. */
async function waitForEviction(cluster: BatchCluster, index: number): Promise<void> {
  const vm = `vm-${index + 1}`;
  const isOver = async (): Promise<boolean> => {
    const records = await cluster.readLog();
    const starts = records.filter(({ event }) => event === ExecutionEvent.TaskStart);
    const places = new Map(starts.map(({ taskId, workerId }) => [taskId, workerId]));
    for (const { event, taskId } of records) {
      if (event === ExecutionEvent.TaskComplete) {
        places.delete(taskId);
      }
    }
    return ![...places.values()].includes(vm);
  };
  await waitUntil(isOver, { what: `${vm} has no runs`, timeoutMs: EVICTION_TIMEOUT_MS });
}

async function countStops(cluster: BatchCluster): Promise<number> {
  return (await cluster.readLog()).filter(({ event }) => event === ExecutionEvent.TaskStop).length;
}

export const evictedResumesOnceProof: Proof = {
  number: 3,
  property: 'evicted work resumes exactly once',
  async run(): Promise<void> {
    const options = { entries: 2, agents: 4 };
    const scenarios = [answersAreLost, twoResumers, platformIsDown, objectStoreIsDown];
    await runScenarios(scenarios.map((scenario) => ({ scenario, options })));
  },
};
