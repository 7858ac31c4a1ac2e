/**
 * Reads and writes the claim rows of requests that must not run twice. A write whose response was lost is
 * retried with the same write id, until the row contains either this write or a different one.
 */
import { randomUUID } from 'node:crypto';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { remainingMs, sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import type { ClaimRow, TransactionResult, VersionedRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import { ABORT_REASON } from './interactive-request.js';

export type VersionedClaim = VersionedRow<ClaimRow>;

export type ClaimWriteResult =
  { written: true; row: VersionedClaim } | { written: false; current: VersionedClaim | null };

const TRIES_MAXIMUM = 4;
const RETRY_INTERVAL_MS = 30;

export class ClaimStore {
  constructor(private readonly context: EntryContext) {}

  async read(key: string, deadline: Instant): Promise<VersionedClaim | null> {
    const [row] = await this.limitToDeadline(this.context.table.read<ClaimRow>([key]), deadline);
    return row ?? null;
  }

  /**
   * Writes the row if it still has the given version. Throws `EntryError` with `Unavailable` when the write
   * fails or its outcome stays unknown.
   */
  async write(
    key: string,
    version: number,
    fields: Omit<ClaimRow, 'writeId'>,
    deadline: Instant,
  ): Promise<ClaimWriteResult> {
    const value: ClaimRow = { ...fields, writeId: randomUUID() };
    for (let tries = 1; ; tries += 1) {
      try {
        return await this.tryWrite(key, version, value, deadline);
      } catch (error) {
        const code = errorCodeOf(error);
        const isRetryable = code === ErrorCode.OutcomeUnknown || code === ErrorCode.Throttled;
        if (!isRetryable || tries === TRIES_MAXIMUM) {
          throw new EntryError('the claim could not be written', {
            code: ErrorCode.Unavailable,
            cause: toError(error),
          });
        }
        await sleep(this.context.random.jitter(RETRY_INTERVAL_MS * tries));
      }
    }
  }

  private async tryWrite(
    key: string,
    version: number,
    value: ClaimRow,
    deadline: Instant,
  ): Promise<ClaimWriteResult> {
    const result = await this.limitToDeadline(
      this.context.table.transact({
        checks: [],
        writes: [{ key, expectedVersion: version, value }],
      }),
      deadline,
    );
    if (result.committed) {
      return { written: true, row: { key, version: getVersion(result), value } };
    }
    const current = await this.read(key, deadline);
    // An earlier try was committed, but its response was lost.
    return current?.value.writeId === value.writeId
      ? { written: true, row: current }
      : { written: false, current };
  }

  private limitToDeadline<Result>(work: Promise<Result>, deadline: Instant): Promise<Result> {
    const timerAbort = new AbortController();
    const timeout = sleep(remainingMs(this.context.clock, deadline), timerAbort.signal).then(() => {
      throw new EntryError('the table did not respond before the deadline', {
        code: ErrorCode.TimedOut,
      });
    });
    timeout.catch(() => {});
    return Promise.race([work, timeout]).finally(() => timerAbort.abort(ABORT_REASON));
  }
}

function getVersion(result: TransactionResult): number {
  return result.committed ? (result.versions[0] ?? 0) : 0;
}
