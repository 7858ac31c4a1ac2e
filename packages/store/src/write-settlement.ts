/**
 * Turns what became of a write into the answer of its submission.
 */
import { ErrorCode } from '@figjunction/errors';
import { ABSENT_VERSION } from '@figjunction/types';
import { PlatformError } from './platform-error.js';
import { OVERTAKEN_VERSION, showsWrite } from './write-item.js';
import type { CurrentRows, WriteItem, WriteOutcome } from './write-item.js';
import { ItemFate } from './write-resolution.js';

/** After the table confirmed the transaction. */
export function settleCommitted(item: WriteItem, version = ABSENT_VERSION): void {
  const { key, value } = item;
  const current = value === null ? null : { key, version, value };
  settle(item, { applied: true, version, current });
}

/** After the rows told what became of the item. */
export function settleByFate(item: WriteItem, fate: ItemFate, rows: CurrentRows): void {
  const current = rows.get(item.key) ?? null;
  const version = current?.version ?? ABSENT_VERSION;
  if (fate === ItemFate.Applied) {
    const applied = showsWrite(item, rows) ? version : OVERTAKEN_VERSION;
    settle(item, { applied: true, version: applied, current });
  } else if (fate === ItemFate.Conflict) {
    settle(item, { applied: false, version, current });
  } else if (fate === ItemFate.Unknown) {
    const message = `row ${item.key} moved on after the answer of a write was lost`;
    fail(item, new PlatformError(message, { code: ErrorCode.OutcomeUnknown }));
  }
}

function settle(item: WriteItem, outcome: WriteOutcome): void {
  if (!item.isSettled) {
    item.isSettled = true;
    item.resolve(outcome);
  }
}

export function fail(item: WriteItem, error: PlatformError): void {
  if (!item.isSettled) {
    item.isSettled = true;
    item.reject(error);
  }
}

export function deadlineError(item: WriteItem, uncertain: boolean): PlatformError {
  const { key, lastError } = item;
  if (uncertain) {
    return new PlatformError(`row ${key} may or may not have been written by its deadline`, {
      code: ErrorCode.OutcomeUnknown,
      cause: lastError ?? undefined,
    });
  }
  const code = lastError?.certainlyNoEffect ? lastError.code : ErrorCode.TimedOut;
  return new PlatformError(`row ${key} was not written by its deadline`, {
    code,
    cause: lastError ?? undefined,
  });
}
