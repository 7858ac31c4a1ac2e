/**
 * Invariant 3: evicted work resumes exactly once. VMs are drained, so that their runs are checkpointed and
 * resume elsewhere, while answers of the table are lost, both entries race to resume, and the object store
 * is down at the eviction.
 */
import { sleep } from '@figjunction/time';
import { TaskState } from '@figjunction/types';
import { BatchCluster, runScenarios } from './batch-cluster.js';
import {
  ProofError,
  checkCheckpointsUsedOnce,
  checkEachOnce,
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

async function checkLog(cluster: BatchCluster, taskIds: string[]): Promise<void> {
  const records = await cluster.readLog();
  checkOnePlace(records);
  checkEachOnce(records, taskIds);
  checkNothingLost(records);
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

/** Checkpoints cannot be written when the eviction begins; the runs go on until they can. */
async function objectStoreIsDown(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('store-down', RUNS, RUN_MS * 2);
  await cluster.waitForStarts(RUNS);
  const [drained = 0] = await cluster.holdersOf('store-down');
  await cluster.processes.platformControl.setFaults({ outage: true });
  await cluster.drain(drained, true);
  await sleep(OUTAGE_MS);
  await cluster.processes.platformControl.setFaults({ outage: false });
  await cluster.waitForState('store-down', TaskState.Completed, RUNS);
  await checkLog(cluster, taskIds);
}

export const evictedResumesOnceProof: Proof = {
  number: 3,
  property: 'evicted work resumes exactly once',
  async run(): Promise<void> {
    const options = { entries: 2, agents: 4 };
    const scenarios = [answersAreLost, twoResumers, objectStoreIsDown];
    await runScenarios(scenarios.map((scenario) => ({ scenario, options })));
  },
};
