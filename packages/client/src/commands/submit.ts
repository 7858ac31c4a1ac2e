/**
 * `figjunction submit`: submits a job of batch runs; repeating it with the same content is safe.
 */
import type { CommandModule } from 'yargs';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { SystemClock, deadlineAfter, hasPassed, sleep } from '@figjunction/time';
import { TaskState } from '@figjunction/types';
import type { JobRequest, JobView, SubmittedJob } from '@figjunction/types';
import { ClientError } from '../client-error.js';
import { connect, requireNumbers, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import type { EntryConnection } from '../entry-connection.js';
import { ExitCode } from '../exit-code.js';
import { invalidJob, readJobFile } from '../job-file.js';
import { formatCounts, isFinished, requestJob } from '../job-requests.js';

interface Flags extends CommonFlags {
  file: string;
  'job-id': string | undefined;
  wait: boolean;
  'wait-seconds': number;
}

const DEFAULT_WAIT_SECONDS = 600;
const MILLISECONDS_PER_SECOND = 1_000;
const POLL_INTERVAL_MS = 500;

export function createSubmitCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'submit <file>',
    describe: 'submit a job of batch runs',
    builder: (command) =>
      command
        .positional('file', {
          type: 'string',
          demandOption: true,
          describe: 'JSON: jobId, team, kind, urgency, tasks',
        })
        .option('job-id', {
          type: 'string',
          describe: 'use this id in place of the one of the file',
        })
        .option('wait', { type: 'boolean', default: false, describe: 'wait until all runs ended' })
        .option('wait-seconds', { type: 'number', default: DEFAULT_WAIT_SECONDS })
        .example(
          '$0 submit examples/overnight-menus.jsonc',
          'submit; repeat it when the answer was lost',
        )
        .example(
          '$0 submit examples/overnight-menus.jsonc --job-id second-night --wait',
          'submit again and wait',
        )
        .epilogue('Exits with 4 when the job id exists with other content, 1 when a run failed.'),
    handler: (flags) => submit(context, flags),
  };
}

async function submit(context: ClientContext, flags: Flags): Promise<void> {
  requireNumbers(flags, ['wait-seconds']);
  const entry = connect(context, flags);
  const job = readJobFile(flags.file, flags['job-id']);
  const answer = await submitJob(entry, job, flags.file);
  if (!flags.wait) {
    show(
      context,
      flags,
      answer,
      () => `job ${job.jobId} is submitted with ${job.tasks.length} runs`,
    );
    return;
  }
  const finished = await waitForJob(context, flags, entry, job);
  show(context, flags, finished, () => `job ${job.jobId}: ${formatCounts(finished)}`);
  if (!isFinished(finished)) {
    throw new ClientError(`job ${job.jobId} did not end in time`, {
      nextStep: `see "figjunction runs --job ${job.jobId}"`,
    });
  }
  if (finished.tasks.some(({ state }) => state !== TaskState.Completed)) {
    throw new ClientError(`not all runs of job ${job.jobId} completed`, {
      exitCode: ExitCode.Failed,
      nextStep: `see "figjunction runs --job ${job.jobId}" for the reasons`,
    });
  }
}

async function submitJob(
  entry: EntryConnection,
  job: JobRequest,
  file: string,
): Promise<SubmittedJob> {
  try {
    return await entry.call('POST', '/v1/jobs', job);
  } catch (error) {
    if (errorCodeOf(error) === ErrorCode.InvalidInput) {
      throw invalidJob(file, toError(error).message);
    }
    throw error;
  }
}

async function waitForJob(
  context: ClientContext,
  flags: Flags,
  entry: EntryConnection,
  { jobId, team }: { jobId: string; team: string },
): Promise<JobView> {
  const clock = new SystemClock();
  const deadline = deadlineAfter(clock, flags['wait-seconds'] * MILLISECONDS_PER_SECOND);
  for (;;) {
    const job = await requestJob(entry, jobId, team);
    if (isFinished(job) || hasPassed(clock, deadline)) {
      context.terminal.progress('');
      return job;
    }
    context.terminal.progress(`job ${jobId}: ${formatCounts(job)}`);
    await sleep(POLL_INTERVAL_MS);
  }
}
