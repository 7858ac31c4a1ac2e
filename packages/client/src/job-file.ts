/**
 * Reads the file of a job. The entry checks its content; here only what the client needs is checked.
 */
import { readFileSync } from 'node:fs';
import { parseJsonWithComments } from '@figjunction/config';
import { toError } from '@figjunction/errors';
import type { JobRequest } from '@figjunction/types';
import { ClientError } from './client-error.js';
import { ExitCode } from './exit-code.js';

export function readJobFile(file: string, jobId: string | undefined): JobRequest {
  const fields = parseJsonWithComments(readText(file), file);
  if ('problems' in fields) {
    throw invalidJob(file, 'it is not JSON');
  }
  const job = { ...(fields.value as JobRequest), ...(jobId === undefined ? {} : { jobId }) };
  if (typeof job.jobId !== 'string' || typeof job.team !== 'string' || !Array.isArray(job.tasks)) {
    throw invalidJob(file, '"jobId", "team", "kind" and "tasks" are needed');
  }
  return job;
}

function readText(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    throw invalidJob(file, toError(error).message);
  }
}

/** A job that cannot be submitted, for a reason found here or by the entry. */
export function invalidJob(file: string, reason: string): ClientError {
  return new ClientError(`${file} is no job: ${reason}`, {
    exitCode: ExitCode.InvalidFile,
    nextStep: 'see examples/overnight-menus.jsonc for the form',
  });
}
