/**
 * Applies a whole file by one conditional write of `configuration/current` against the revision that the
 * operator started from. The body is stored first, so that a revision never names a body that is missing.
 */
import { createHash, randomUUID } from 'node:crypto';
import type { OperatorConfiguration } from '@figjunction/config';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { deadlineAfter, hasPassed, sleep } from '@figjunction/time';
import { ABSENT_VERSION, CONFIGURATION_KEY, configurationObjectKey } from '@figjunction/types';
import type { ConfigurationRow, VersionedRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';

/** A write whose result is still open after this time is reported as unknown. */
const RESOLVE_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 200;
const STORE_ATTEMPTS_MAXIMUM = 4;

/** The row is read by every entry each second, so it keeps a bounded history. */
const HISTORY_MAXIMUM = 50;

/** What a conflict shows when an operator names a base revision although nothing was applied yet. */
const NO_ROW: ConfigurationRow = {
  writeId: '',
  revision: 0,
  bodyHash: '',
  appliedBy: '',
  appliedAt: '',
  history: [],
};

export interface ApplyOptions {
  baseRevision: number;
  body: string;
  configuration: OperatorConfiguration;
  appliedBy: string;
}

/** Null for `conflict` when the file was applied. */
export interface ApplyResult {
  revision: number;
  conflict: ConfigurationRow | null;
}

type CurrentRow = VersionedRow<ConfigurationRow> | null;

export async function applyConfiguration(
  context: EntryContext,
  options: ApplyOptions,
): Promise<ApplyResult> {
  const bodyHash = createHash('sha256').update(options.body).digest('hex');
  const current = await readCurrentRow(context);
  if (current !== null && isRepeated(current.value, bodyHash, options)) {
    return { revision: options.baseRevision + 1, conflict: null };
  }
  if ((current?.value.revision ?? 0) !== options.baseRevision) {
    return conflictWith(current);
  }
  await storeBody(context, bodyHash, options.body);
  const row = nextRow(context, current, bodyHash, options.appliedBy);
  const result = await writeRow(context, current, row);
  if (result.conflict === null) {
    takeAtOnce(context, row, options);
  }
  return result;
}

export async function readCurrentRow(context: EntryContext): Promise<CurrentRow> {
  const [row] = await context.table.read<ConfigurationRow>([CONFIGURATION_KEY]);
  return row ?? null;
}

/** Repeats a write whose answer was lost: the key is the hash of the body, so any number of writes is one. */
async function storeBody(context: EntryContext, bodyHash: string, body: string): Promise<void> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      await context.objects.put(configurationObjectKey(bodyHash), Buffer.from(body));
      return;
    } catch (error) {
      if (attempt === STORE_ATTEMPTS_MAXIMUM) {
        throw new EntryError('the object store is unavailable; nothing was applied', {
          code: ErrorCode.Unavailable,
          cause: toError(error),
        });
      }
    }
    await sleep(context.random.jitter(RETRY_DELAY_MS));
  }
}

/** A client that lost the answer sends the file again; the second call must not look like a conflict. */
function isRepeated(row: ConfigurationRow, bodyHash: string, options: ApplyOptions): boolean {
  return [row, ...row.history].some(
    (earlier) =>
      earlier.revision === options.baseRevision + 1 &&
      earlier.bodyHash === bodyHash &&
      earlier.appliedBy === options.appliedBy,
  );
}

function conflictWith(current: CurrentRow): ApplyResult {
  return { revision: current?.value.revision ?? 0, conflict: current?.value ?? NO_ROW };
}

function nextRow(
  context: EntryContext,
  current: CurrentRow,
  bodyHash: string,
  appliedBy: string,
): ConfigurationRow {
  const previous = current?.value;
  const earlier = previous === undefined ? [] : [summarise(previous), ...previous.history];
  return {
    writeId: randomUUID(),
    revision: (previous?.revision ?? 0) + 1,
    bodyHash,
    appliedBy,
    appliedAt: new Date(context.clock.wallTimeMs()).toISOString(),
    history: earlier.slice(0, HISTORY_MAXIMUM),
  };
}

function summarise(row: ConfigurationRow): ConfigurationRow['history'][number] {
  const { revision, bodyHash, appliedBy, appliedAt } = row;
  return { revision, bodyHash, appliedBy, appliedAt };
}

/**
 * Repeats the write until its result is known. Repeating is safe, because the write expects the version
 * that was read: when an earlier try took effect, the next one conflicts and the row shows its write id.
 */
async function writeRow(
  context: EntryContext,
  current: CurrentRow,
  row: ConfigurationRow,
): Promise<ApplyResult> {
  const expectedVersion = current?.version ?? ABSENT_VERSION;
  const writes = [{ key: CONFIGURATION_KEY, expectedVersion, value: row }];
  const deadline = deadlineAfter(context.clock, RESOLVE_TIMEOUT_MS);
  let mayHaveWritten = false;
  for (;;) {
    try {
      const { committed } = await context.table.transact({ checks: [], writes });
      return committed ? { revision: row.revision, conflict: null } : await resolve(context, row);
    } catch (error) {
      mayHaveWritten ||= errorCodeOf(error) === ErrorCode.OutcomeUnknown;
      context.metrics.count('configuration_write_retries_total');
      if (hasPassed(context.clock, deadline)) {
        throw describeOpenWrite(toError(error), mayHaveWritten);
      }
    }
    await sleep(context.random.jitter(RETRY_DELAY_MS));
  }
}

function describeOpenWrite(cause: Error, mayHaveWritten: boolean): EntryError {
  if (mayHaveWritten) {
    return new EntryError('the table did not say whether the file was applied; read the revision', {
      code: ErrorCode.OutcomeUnknown,
      cause,
    });
  }
  return new EntryError('the table is unavailable; nothing was applied', {
    code: ErrorCode.Unavailable,
    cause,
  });
}

/** Tells from the row whether the write that conflicted was overtaken or had taken effect before. */
async function resolve(context: EntryContext, written: ConfigurationRow): Promise<ApplyResult> {
  const current = await readCurrentRow(context);
  if (current !== null && shows(current.value, written)) {
    return { revision: written.revision, conflict: null };
  }
  return conflictWith(current);
}

/** Another file may have been applied on top of the lost write; the history then shows it. */
function shows(row: ConfigurationRow, written: ConfigurationRow): boolean {
  if (row.writeId === written.writeId) {
    return true;
  }
  const earlier = row.history.find(({ revision }) => revision === written.revision);
  return (
    earlier !== undefined &&
    earlier.bodyHash === written.bodyHash &&
    earlier.appliedBy === written.appliedBy &&
    earlier.appliedAt === written.appliedAt
  );
}

function takeAtOnce(context: EntryContext, row: ConfigurationRow, options: ApplyOptions): void {
  const { revision, bodyHash, appliedBy } = row;
  const { body, configuration } = options;
  context.configuration.accept({ revision, bodyHash, body, configuration });
  context.metrics.count('configurations_applied_total');
  context.logger.info({ revision, bodyHash, appliedBy }, 'configuration applied');
}
