/**
 * Batch jobs submitted at a steady rate.
 */
import type { Cluster } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import { tokenOf } from './workload.js';

export interface JobWave {
  team: string;
  kind: string;
  tasksPerJob: number;
  parameters: Record<string, string>;
}

export interface BatchLoadOptions {
  cluster: Cluster;
  /** Makes the job ids of this load differ from those of others. */
  label: string;
  /** Submitted in turn, one after each interval. */
  waves: JobWave[];
  intervalMs: number;
  durationMs: number;
}

export interface BatchLoadResult {
  /** Host time at which the submission of a task was sent, by task id. */
  submittedAtMs: Map<string, number>;
  refusedJobs: number;
  acceptedTasks: number;
}

/** A task is named after team, job and its own name. */
function taskIdOf(team: string, jobId: string, name: string): string {
  return `${team}.${jobId}.${name}`;
}

export async function submitJobs(options: BatchLoadOptions): Promise<BatchLoadResult> {
  const { waves, intervalMs, durationMs } = options;
  const clock = new SystemClock();
  const result: BatchLoadResult = { submittedAtMs: new Map(), refusedJobs: 0, acceptedTasks: 0 };
  const submissions: Promise<void>[] = [];
  const startedAt = clock.now();
  const total = Math.floor(durationMs / intervalMs);
  for (let index = 0; index < total; index += 1) {
    const waitMs = startedAt + index * intervalMs - clock.now();
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    const wave = waves[index % waves.length];
    if (wave !== undefined) {
      submissions.push(submitOne(options, wave, index, clock.now(), result));
    }
  }
  await Promise.all(submissions);
  return result;
}

async function submitOne(
  options: BatchLoadOptions,
  wave: JobWave,
  index: number,
  now: number,
  result: BatchLoadResult,
): Promise<void> {
  const { cluster, label } = options;
  const { team, kind, tasksPerJob, parameters } = wave;
  const jobId = `${label}-${index}`;
  const tasks = Array.from({ length: tasksPerJob }, (_value, task) => ({
    name: `t${task}`,
    parameters,
  }));
  try {
    const client = cluster.entryClient(index % cluster.entries.length);
    await client.submit({ jobId, team, kind, tasks }, tokenOf(team));
  } catch {
    result.refusedJobs += 1;
    return;
  }
  result.acceptedTasks += tasksPerJob;
  tasks.forEach(({ name }) => result.submittedAtMs.set(taskIdOf(team, jobId, name), now));
}
