/**
 * Applies a complete file with one conditional write of `configuration/current` against the base revision
 * of the operator. The body is stored first, so that a revision never refers to a missing body.
 */
import { createHash, randomUUID } from 'node:crypto';
import type { OperatorConfiguration } from '@figjunction/config';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { deadlineAfter, hasPassed, sleep } from '@figjunction/time';
import { ABSENT_VERSION, CONFIGURATION_KEY, configurationObjectKey } from '@figjunction/types';
import type { ConfigurationRow, VersionedRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';

/** A write with an unknown result is retried for this long and then reported as failed or unknown. */
const RESOLVE_TIMEOUT_MS = 10_000;
const RETRY_DELAY_MS = 200;
const STORE_ATTEMPTS_MAXIMUM = 4;

/** Every entry reads the row each second, so its history is bounded. */
const HISTORY_MAXIMUM = 50;

/** Reported in a conflict if an operator gives a base revision before any file was applied. */
const EMPTY_ROW: ConfigurationRow = {
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

/** `conflict` is null if the file was applied. */
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
  if (current !== null && isAlreadyApplied(current.value, bodyHash, options)) {
    return { revision: options.baseRevision + 1, conflict: null };
  }
  if ((current?.value.revision ?? 0) !== options.baseRevision) {
    return conflictWith(current);
  }
  await storeBody(context, bodyHash, options.body);
  const row = nextRow(context, current, bodyHash, options.appliedBy);
  const result = await writeRow(context, current, row);
  if (result.conflict === null) {
    adoptLocally(context, row, options);
  }
  return result;
}

export async function readCurrentRow(context: EntryContext): Promise<CurrentRow> {
  const [row] = await context.table.read<ConfigurationRow>([CONFIGURATION_KEY]);
  return row ?? null;
}

/** Retries until the body is stored. This is idempotent, because the key is the hash of the body. */
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

/** A client that lost the response sends the file again; the retry must not be reported as a conflict. */
function isAlreadyApplied(row: ConfigurationRow, bodyHash: string, options: ApplyOptions): boolean {
  return [row, ...row.history].some(
    (earlier) =>
      earlier.revision === options.baseRevision + 1 &&
      earlier.bodyHash === bodyHash &&
      earlier.appliedBy === options.appliedBy,
  );
}

function conflictWith(current: CurrentRow): ApplyResult {
  return { revision: current?.value.revision ?? 0, conflict: current?.value ?? EMPTY_ROW };
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
 * Retries the write until its result is known. Retrying is safe, because the write expects the version
 * that was read: if an earlier attempt took effect, the next one conflicts and the row has its write id.
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
      return committed
        ? { revision: row.revision, conflict: null }
        : await resolveConflict(context, row);
    } catch (error) {
      mayHaveWritten ||= errorCodeOf(error) === ErrorCode.OutcomeUnknown;
      context.metrics.count('configuration_write_retries_total');
      if (hasPassed(context.clock, deadline)) {
        throw createUnresolvedWriteError(toError(error), mayHaveWritten);
      }
    }
    await sleep(context.random.jitter(RETRY_DELAY_MS));
  }
}

function createUnresolvedWriteError(cause: Error, mayHaveWritten: boolean): EntryError {
  if (mayHaveWritten) {
    return new EntryError(
      'it is unknown whether the file was applied; check the current revision',
      {
        code: ErrorCode.OutcomeUnknown,
        cause,
      },
    );
  }
  return new EntryError('the table is unavailable; nothing was applied', {
    code: ErrorCode.Unavailable,
    cause,
  });
}

/** Determines from the row whether a conflicting write lost to another one or had already taken effect. */
async function resolveConflict(
  context: EntryContext,
  written: ConfigurationRow,
): Promise<ApplyResult> {
  const current = await readCurrentRow(context);
  if (current !== null && containsWrite(current.value, written)) {
    return { revision: written.revision, conflict: null };
  }
  return conflictWith(current);
}

/** Another file may have been applied after this write; the history then contains this write. */
function containsWrite(row: ConfigurationRow, written: ConfigurationRow): boolean {
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

function adoptLocally(context: EntryContext, row: ConfigurationRow, options: ApplyOptions): void {
  const { revision, bodyHash, appliedBy } = row;
  const { body, configuration } = options;
  context.configuration.accept({ revision, bodyHash, body, configuration });
  context.metrics.count('configurations_applied_total');
  context.logger.info({ revision, bodyHash, appliedBy }, 'configuration applied');
}
