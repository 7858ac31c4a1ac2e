/**
 * The one minion with a label is lost for good while clients hand in jobs that need it. Jobs of another queue, which
 * need no label, are handed in too, and all other minions are idle. They have to run.
 */
import { sleep } from './deployment.mjs';
import { HAS_TROUBLE } from './run-case.mjs';

const MINIONS = 7;
const CAPACITY = { cpu: 16_000, mem_mb: 62_500, gpu: 0 };
const MACHINES_FIRST_MS = 8_000;
const LOSS_AFTER_MS = 2_000;
const FINISH_MS = 14_000;
const IDLE_S = 3;
const NEEDS = { cpu: 500, mem_mb: 256 };
const WORK_MS = 300;
const FIRST_PLAIN_ID = 0x10;
const FIRST_LABELLED_ID = 0x1000;

function createJob(requirements) {
  const label = requirements === null ? {} : { requirements };
  const step = { count: 1, ...NEEDS, estimate_ms: WORK_MS, ...label };
  return { spec: JSON.stringify({ ...NEEDS, ms: WORK_MS }), steps: [step, step] };
}

function idOf(number) {
  return number.toString(16).padStart(16, '0');
}

/** True if less than half of what the minions that are up can hold is in use. */
function isMostlyFree({ minions }) {
  const up = minions.filter(({ isUp }) => isUp);
  const used = up.reduce((sum, minion) => sum + minion.used().cpu, 0);
  return used * 2 < up.length * CAPACITY.cpu;
}

/** True if the job is shown as queued for 3 s and starts nothing, while most of the room is free. */
async function isIgnored(deployment, jobId) {
  for (let second = 0; second <= IDLE_S; second += 1) {
    const { body } = await deployment.request('GET', `/plain/${jobId}`);
    if (body?.state !== 'queued' || !isMostlyFree(deployment)) {
      return false;
    }
    await sleep(1_000);
  }
  const starts = deployment.minions.flatMap((minion) => minion.starts);
  return !starts.some(({ task }) => task.startsWith(jobId));
}

async function startDeployment(deployment, configuration, adviser) {
  const minions = Array.from({ length: MINIONS }, (_, index) => ({
    service: 'printing',
    labels: [index === 0 ? 'b' : 'a', `r1-${Math.floor(index / 3)}`],
    capacity: CAPACITY,
    adviser,
  }));
  await deployment.start({ minions, configuration, adviser });
  await sleep(MACHINES_FIRST_MS);
  const id = idOf(1);
  const { status } = await deployment.insist('POST', `/plain/${id}`, createJob(null), [200]);
  if (status !== 200) {
    throw new Error('the deployment does not accept jobs');
  }
  await sleep(LOSS_AFTER_MS);
}

/**
 * Hands in `labelledJobs` jobs that need the label, one each `intervalMs`, and beside each `plainEvery` of them one
 * that needs none. Returns false if one of the latter is not run `finish_s` after the last was handed in.
 */
export async function playLostLabel(deployment, options) {
  const { configuration, labelledJobs, intervalMs, plainEvery, adviser = null } = options;
  await startDeployment(deployment, configuration, adviser);
  if (HAS_TROUBLE) {
    deployment.minions[0].crash();
  }
  const accepted = [];
  for (let number = 0; number < labelledJobs; number += 1) {
    const labelledId = idOf(FIRST_LABELLED_ID + number);
    await deployment.request('POST', `/labelled/${labelledId}`, createJob('b'));
    if (number % plainEvery === plainEvery - 1) {
      const id = idOf(FIRST_PLAIN_ID + accepted.length);
      const { status } = await deployment.insist('POST', `/plain/${id}`, createJob(null), [200]);
      accepted.push(...(status === 200 ? [id] : []));
    }
    await sleep(intervalMs);
  }
  await sleep(FINISH_MS);
  const verdicts = await Promise.all(accepted.map((id) => isIgnored(deployment, id)));
  const lost = accepted.filter((_, index) => verdicts[index]);
  deployment.record('verdict', { accepted: accepted.length, lost });
  return lost.length === 0;
}
