/**
 * Invariant 2: a run never executes in two places at once. Agents and the placing entry are killed and
 * paused for longer than a lease while runs execute; the table is down while leases pass; the regions lose
 * each other.
 */
import { sleep } from '@figjunction/time';
import { ExecutionEvent } from '@figjunction/test-support';
import { TaskState } from '@figjunction/types';
import { BatchCluster, runScenarios } from './batch-cluster.js';
import { ProofError, checkEachOnce, checkOnePlace } from './execution-intervals.js';
import type { Proof } from './proof.js';
import { REGION_OPTIONS, regionsLoseEachOther } from './regions-lose-each-other.js';

const RUNS = 24;
const RUN_MS = 5_000;
/** Longer than a lease: a shorter run may end on the worker of a dead agent, which nobody can report. */
const LONG_RUN_MS = 14_000;
/** The late agent comes back when its lease has just passed. */
const LEASE_MS = 10_000;
/** Longer than a lease with its margin, so that others take over meanwhile. */
const PAUSE_MS = 16_000;
/** Longer than a lease, so that workers suspend. */
const OUTAGE_MS = 13_000;

async function checkLog(cluster: BatchCluster, taskIds: string[]): Promise<void> {
  const records = await cluster.readLog();
  checkOnePlace(records);
  checkEachOnce(records, taskIds);
}

/** One agent is killed, one is paused, and so is the entry that placed the runs. */
async function agentsAndEntryFail(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('killed', RUNS, LONG_RUN_MS);
  await cluster.waitForStarts(RUNS / 2);
  const placing = await cluster.placingEntry();
  const other = placing === 0 ? 1 : 0;
  const [killed = 0, paused = 1] = await cluster.holdersOf('killed');
  await cluster.processes.agents[killed]?.kill();
  cluster.processes.agents[paused]?.pause();
  cluster.processes.entries[placing]?.pause();
  await sleep(PAUSE_MS);
  cluster.processes.agents[paused]?.continue();
  cluster.processes.entries[placing]?.continue();
  await cluster.waitForState('killed', TaskState.Completed, RUNS, other);
  await checkLog(cluster, taskIds);
}

/** A restarted agent adopts its runs, or they resume elsewhere, but never both. */
async function agentRestarts(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('restarted', RUNS, LONG_RUN_MS);
  await cluster.waitForStarts(RUNS);
  const [soon = 0, late = 1] = await cluster.holdersOf('restarted');
  await Promise.all([
    cluster.processes.agents[soon]?.kill(),
    cluster.processes.agents[late]?.kill(),
  ]);
  await cluster.processes.startAgent(soon);
  await sleep(LEASE_MS);
  await cluster.processes.startAgent(late);
  await cluster.waitForState('restarted', TaskState.Completed, RUNS);
  await checkLog(cluster, taskIds);
}

/** The placing entry is killed for good while it places runs. */
async function placingEntryDies(cluster: BatchCluster): Promise<void> {
  const taskIds = await cluster.submit('entry-killed', RUNS, RUN_MS / 2);
  await cluster.waitForState('entry-killed', TaskState.Running, 1);
  const placing = await cluster.placingEntry();
  await cluster.processes.entries[placing]?.kill();
  await cluster.waitForState('entry-killed', TaskState.Completed, RUNS, placing === 0 ? 1 : 0);
  await checkLog(cluster, taskIds);
}

/** Nobody can renew while leases pass: runs suspend and go on where they stopped. */
async function tableIsDown(cluster: BatchCluster): Promise<void> {
  const runMs = OUTAGE_MS + RUN_MS;
  const taskIds = await cluster.submit('outage', RUNS / 2, runMs);
  await cluster.waitForStarts(RUNS / 2);
  await cluster.processes.platformControl.setFaults({ outage: true });
  await sleep(OUTAGE_MS);
  await cluster.processes.platformControl.setFaults({ outage: false });
  await cluster.waitForState('outage', TaskState.Completed, RUNS / 2);
  await checkLog(cluster, taskIds);
  const records = await cluster.readLog();
  if (!records.some(({ event }) => event === ExecutionEvent.TaskSuspend)) {
    throw new ProofError('no run was suspended while the table was down');
  }
  const starts = records.filter(({ event }) => event === ExecutionEvent.TaskStart);
  if (starts.length !== taskIds.length) {
    throw new ProofError(`${taskIds.length} runs started ${starts.length} times`);
  }
}

/** Cancellations race the resumption of runs whose agent died. */
async function cancelRacesResume(cluster: BatchCluster): Promise<void> {
  await cluster.submit('cancelled', RUNS, 60_000);
  await cluster.waitForStarts(RUNS);
  const [killed = 0] = await cluster.holdersOf('cancelled');
  await cluster.processes.agents[killed]?.kill();
  // The first requeue shows that resumption is under way.
  await cluster.waitForJob(
    'cancelled',
    ({ tasks }) => tasks.some(({ state, attempt }) => state === TaskState.Pending || attempt > 1),
    'a run of the killed agent is requeued',
  );
  await Promise.all([cluster.cancel('cancelled', 0), cluster.cancel('cancelled', 1)]);
  await cluster.waitForState('cancelled', TaskState.Cancelled, RUNS);
  // Stop orders and their repair need a few heartbeats.
  await sleep(6_000);
  const records = await cluster.readLog();
  checkOnePlace(records);
  const stillRunning = records
    .filter(({ workerId }) => workerId !== `vm-${killed + 1}`)
    .reduce((running, { event, taskId }) => {
      if (event === ExecutionEvent.TaskStart) {
        running.add(taskId);
      } else if (event === ExecutionEvent.TaskStop) {
        running.delete(taskId);
      }
      return running;
    }, new Set<string>());
  if (stillRunning.size > 0) {
    throw new ProofError(`${stillRunning.size} cancelled runs go on`);
  }
}

export const runInOnePlaceProof: Proof = {
  number: 2,
  property: 'a run never executes in two places at once',
  async run(): Promise<void> {
    const options = { entries: 2, agents: 4 };
    const scenarios = [
      agentsAndEntryFail,
      agentRestarts,
      placingEntryDies,
      tableIsDown,
      cancelRacesResume,
    ];
    await runScenarios([
      ...scenarios.map((scenario) => ({ scenario, options })),
      { scenario: regionsLoseEachOther, options: REGION_OPTIONS },
    ]);
  },
};
