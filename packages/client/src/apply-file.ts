/**
 * Sends a file to be applied and explains a refusal: the problems of the file, or the other revision with
 * what it changed.
 */
import { compareConfigurations, parseOperatorConfiguration } from '@figjunction/config';
import type { ConfigurationProblem, OperatorConfiguration } from '@figjunction/config';
import { ClientError } from './client-error.js';
import { OutputFormat } from './client-context.js';
import type { ClientContext, CommonFlags } from './client-context.js';
import { formatDifferences, invalidFile, showProblems } from './configuration-file.js';
import type { CheckedFile } from './configuration-file.js';
import { describeFailure } from './entry-connection.js';
import type { EntryConnection } from './entry-connection.js';
import { requestConfiguration } from './entry-requests.js';
import { ExitCode } from './exit-code.js';

const STATUS_CONFLICT = 409;
const STATUS_INVALID_FILE = 422;

export interface ApplyParameters {
  entry: EntryConnection;
  file: CheckedFile;
  baseRevision: number;
}

interface ConflictAnswer {
  currentRevision: number;
  currentAppliedBy: string;
  currentBody: string | null;
}

/** Returns the new revision. */
export async function applyFile(
  context: ClientContext,
  flags: CommonFlags,
  parameters: ApplyParameters,
): Promise<number> {
  const { entry, file, baseRevision } = parameters;
  const { body, fileName } = file;
  const answer = await entry.exchange('POST', '/v1/configuration', {
    baseRevision,
    body,
    fileName,
  });
  if (answer.status === STATUS_INVALID_FILE) {
    const { problems } = answer.value as { problems: ConfigurationProblem[] };
    showProblems(context, flags, problems);
    throw invalidFile(fileName, problems.length);
  }
  if (answer.status === STATUS_CONFLICT) {
    throw await explainConflict(context, flags, parameters, answer.value as ConflictAnswer);
  }
  if (answer.status >= 300) {
    throw describeFailure(answer);
  }
  return (answer.value as { revision: number }).revision;
}

async function explainConflict(
  context: ClientContext,
  flags: CommonFlags,
  { entry, file, baseRevision }: ApplyParameters,
  conflict: ConflictAnswer,
): Promise<ClientError> {
  const { currentRevision, currentAppliedBy, currentBody } = conflict;
  const base = await readRevision(entry, baseRevision);
  const current = parse(currentBody);
  const theirs = current === null ? null : compareConfigurations(base, current);
  const yours = current === null ? null : compareConfigurations(current, file.configuration);
  if (flags.output === OutputFormat.Json) {
    context.terminal.print(JSON.stringify({ ...conflict, theirs, yours }, null, 2));
  } else if (theirs !== null && yours !== null) {
    context.terminal.report(
      [
        `revision ${currentRevision}, applied by ${currentAppliedBy}, changed since revision ${baseRevision}:`,
        formatDifferences(theirs),
        `${file.fileName} would change against revision ${currentRevision}:`,
        formatDifferences(yours),
      ].join('\n'),
    );
  }
  return new ClientError(
    `conflict: revision ${currentRevision} was applied by ${currentAppliedBy || 'nobody'}, the file starts from ${baseRevision}`,
    {
      exitCode: ExitCode.Conflict,
      nextStep: `take over what you want to keep, then apply with --base-revision ${currentRevision}`,
    },
  );
}

async function readRevision(
  entry: EntryConnection,
  revision: number,
): Promise<OperatorConfiguration | null> {
  try {
    return revision === 0 ? null : parse((await requestConfiguration(entry, revision)).body);
  } catch {
    // The comparison then shows the whole other revision, which is longer but not wrong.
    return null;
  }
}

function parse(body: string | null): OperatorConfiguration | null {
  const parsed = parseOperatorConfiguration(body ?? '', 'revision');
  return 'configuration' in parsed ? parsed.configuration : null;
}
