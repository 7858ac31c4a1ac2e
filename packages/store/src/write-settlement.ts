/**
 * Settles the promise of a submitted write according to its outcome.
 */
import { ErrorCode } from '@figjunction/errors';
import { ABSENT_VERSION } from '@figjunction/types';
import { PlatformError } from './platform-error.js';
import { SUPERSEDED_VERSION, isWriteVisible } from './write-item.js';
import type { CurrentRows, WriteItem, WriteOutcome } from './write-item.js';
import { ItemOutcome } from './write-resolution.js';

/** Resolves an item after the table confirmed the transaction. */
export function settleCommitted(item: WriteItem, version = ABSENT_VERSION): void {
  const { key, value } = item;
  const current = value === null ? null : { key, version, value };
  resolveItem(item, { applied: true, version, current });
}

/** Settles an item with the outcome read from the rows; a pending item stays unsettled. */
export function settleItem(item: WriteItem, itemOutcome: ItemOutcome, rows: CurrentRows): void {
  const current = rows.get(item.key) ?? null;
  const version = current?.version ?? ABSENT_VERSION;
  if (itemOutcome === ItemOutcome.Applied) {
    const appliedVersion = isWriteVisible(item, rows) ? version : SUPERSEDED_VERSION;
    resolveItem(item, { applied: true, version: appliedVersion, current });
  } else if (itemOutcome === ItemOutcome.Conflict) {
    resolveItem(item, { applied: false, version, current });
  } else if (itemOutcome === ItemOutcome.Unknown) {
    const message = `row ${item.key} changed after the response to a write was lost; outcome unknown`;
    rejectItem(item, new PlatformError(message, { code: ErrorCode.OutcomeUnknown }));
  }
}

function resolveItem(item: WriteItem, outcome: WriteOutcome): void {
  if (!item.isSettled) {
    item.isSettled = true;
    item.resolve(outcome);
  }
}

export function rejectItem(item: WriteItem, error: PlatformError): void {
  if (!item.isSettled) {
    item.isSettled = true;
    item.reject(error);
  }
}

/** The error for an item whose deadline has passed. */
export function createDeadlineError(item: WriteItem, mayHaveTakenEffect: boolean): PlatformError {
  const { key, lastError } = item;
  if (mayHaveTakenEffect) {
    return new PlatformError(
      `deadline for writing row ${key} passed; the write may have taken effect`,
      {
        code: ErrorCode.OutcomeUnknown,
        cause: lastError ?? undefined,
      },
    );
  }
  const code = lastError?.hasNoEffect ? lastError.code : ErrorCode.TimedOut;
  return new PlatformError(`deadline for writing row ${key} passed; the write had no effect`, {
    code,
    cause: lastError ?? undefined,
  });
}
