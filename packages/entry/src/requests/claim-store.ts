/**
 * Claim rows of requests that must not run twice. A write whose answer was lost is resolved by its write
 * id: it is repeated with the same id until the row shows either that write or another one.
 */
import { randomUUID } from 'node:crypto';
import { ErrorCode, errorCodeOf, toError } from '@figjunction/errors';
import { remainingMs, sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import type { ClaimRow, TransactionResult, VersionedRow } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { EntryError } from '../entry-error.js';
import { ENDED } from './interactive-request.js';

export type ClaimVersion = VersionedRow<ClaimRow>;

export type ClaimWrite =
  { written: true; row: ClaimVersion } | { written: false; current: ClaimVersion | null };

const TRIES_MAXIMUM = 4;
const RETRY_MS = 30;

export class ClaimStore {
  constructor(private readonly context: EntryContext) {}

  async read(key: string, deadline: Instant): Promise<ClaimVersion | null> {
    const [row] = await this.withDeadline(this.context.table.read<ClaimRow>([key]), deadline);
    return row ?? null;
  }

  /**
   * Writes the row if it still has the version. Throws when the table did not take the write, or when
   * nobody can tell in time whether it did.
   */
  async write(
    key: string,
    version: number,
    facts: Omit<ClaimRow, 'writeId'>,
    deadline: Instant,
  ): Promise<ClaimWrite> {
    const value: ClaimRow = { ...facts, writeId: randomUUID() };
    for (let tries = 1; ; tries += 1) {
      try {
        return await this.tryWrite(key, version, value, deadline);
      } catch (error) {
        const code = errorCodeOf(error);
        const isWorthRepeating = code === ErrorCode.OutcomeUnknown || code === ErrorCode.Throttled;
        if (!isWorthRepeating || tries === TRIES_MAXIMUM) {
          throw new EntryError('the claim could not be written', {
            code: ErrorCode.Unavailable,
            cause: toError(error),
          });
        }
        await sleep(this.context.random.jitter(RETRY_MS * tries));
      }
    }
  }

  private async tryWrite(
    key: string,
    version: number,
    value: ClaimRow,
    deadline: Instant,
  ): Promise<ClaimWrite> {
    const result = await this.withDeadline(
      this.context.table.transact({
        checks: [],
        writes: [{ key, expectedVersion: version, value }],
      }),
      deadline,
    );
    if (result.committed) {
      return { written: true, row: { key, version: versionOf(result), value } };
    }
    const current = await this.read(key, deadline);
    // An earlier try took effect and its answer was lost.
    return current?.value.writeId === value.writeId
      ? { written: true, row: current }
      : { written: false, current };
  }

  private withDeadline<Result>(work: Promise<Result>, deadline: Instant): Promise<Result> {
    const wait = new AbortController();
    const late = sleep(remainingMs(this.context.clock, deadline), wait.signal).then(() => {
      throw new EntryError('the table did not answer before the deadline', {
        code: ErrorCode.TimedOut,
      });
    });
    late.catch(() => {});
    return Promise.race([work, late]).finally(() => wait.abort(ENDED));
  }
}

function versionOf(result: TransactionResult): number {
  return result.committed ? (result.versions[0] ?? 0) : 0;
}
