/**
 * The fake platform without a transport: table, objects, limits, faults and counters. Each call ends in
 * one of the ways a real call can end; the caller maps that onto its transport.
 */
import { SystemClock, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import type {
  TableScanParameters,
  TableScanResult,
  TableTransaction,
  TransactionResult,
  VersionedRow,
} from '@figjunction/types';
import { MemoryTable } from './memory-table.js';
import { RateLimit, createPlatformFaults, createPlatformStats } from './platform-faults.js';
import type { PlatformFaults, PlatformStats } from './platform-faults.js';

export enum FakeCallEnding {
  Answered = 'answered',
  Throttled = 'throttled',
  Outage = 'outage',
  /** The call took effect and its answer must not reach the caller. */
  AnswerLost = 'answer-lost',
}

export interface FakeCall<Result> {
  ending: FakeCallEnding;
  result: Result | null;
}

export class FakePlatform {
  readonly faults: PlatformFaults;

  stats: PlatformStats = createPlatformStats();

  private readonly table = new MemoryTable();

  private readonly objects = new Map<string, Buffer>();

  private readonly transactionLimit: RateLimit;

  private readonly readLimit: RateLimit;

  constructor(faults: Partial<PlatformFaults> = {}, clock: Clock = new SystemClock()) {
    this.faults = createPlatformFaults(faults);
    this.transactionLimit = new RateLimit(() => this.faults.transactionsPerSecond, clock);
    this.readLimit = new RateLimit(() => this.faults.readsPerSecond, clock);
  }

  resetStats(): void {
    this.stats = createPlatformStats();
  }

  read(keys: string[]): Promise<FakeCall<(VersionedRow<unknown> | null)[]>> {
    return this.call(this.readLimit, () => {
      this.stats.reads += 1;
      this.stats.rowsRead += keys.length;
      return this.table.read(keys);
    });
  }

  scan(parameters: TableScanParameters): Promise<FakeCall<TableScanResult<unknown>>> {
    return this.call(this.readLimit, () => {
      const page = this.table.scan(parameters);
      this.stats.reads += 1;
      this.stats.rowsRead += page.rows.length;
      return page;
    });
  }

  async transact(transaction: TableTransaction): Promise<FakeCall<TransactionResult>> {
    const call = await this.call(this.transactionLimit, () => {
      const result = this.table.transact(transaction);
      this.countTransaction(transaction, result);
      return result;
    });
    const prefixes = transaction.writes.map(({ key }) => prefixOf(key));
    return this.loseAnswer(call, prefixes);
  }

  async putObject(key: string, body: Buffer): Promise<FakeCall<true>> {
    const call = await this.callObjects<true>(() => {
      this.stats.objectsWritten += 1;
      this.objects.set(key, Buffer.from(body));
      return true;
    });
    return this.loseAnswer(call);
  }

  getObject(key: string): Promise<FakeCall<Buffer | null>> {
    return this.callObjects(() => {
      const body = this.objects.get(key) ?? null;
      this.stats.objectsRead += 1;
      this.stats.objectBytesRead += body?.length ?? 0;
      return body;
    });
  }

  async removeObject(key: string): Promise<FakeCall<boolean>> {
    const call = await this.callObjects(() => this.objects.delete(key));
    return this.loseAnswer(call);
  }

  /** Counts the bytes of an answer; only the transport knows them. */
  countTableBytes(bytes: number): void {
    this.stats.tableBytesRead += bytes;
  }

  private async callObjects<Result>(run: () => Result): Promise<FakeCall<Result>> {
    const call = await this.call(null, run, this.faults.objectOutage);
    if (call.ending === FakeCallEnding.Outage) {
      this.stats.objectsRefused += 1;
    }
    return call;
  }

  private async call<Result>(
    limit: RateLimit | null,
    run: () => Result,
    isOut = false,
  ): Promise<FakeCall<Result>> {
    if (this.faults.slowMs > 0) {
      await sleep(this.faults.slowMs);
    }
    if (this.faults.outage || isOut) {
      this.stats.refusedInOutage += 1;
      return { ending: FakeCallEnding.Outage, result: null };
    }
    if (limit !== null && !limit.take()) {
      this.stats.throttled += 1;
      return { ending: FakeCallEnding.Throttled, result: null };
    }
    return { ending: FakeCallEnding.Answered, result: run() };
  }

  private loseAnswer<Result>(
    call: FakeCall<Result>,
    writtenPrefixes: string[] = [],
  ): FakeCall<Result> {
    const { loseAnswers, loseAnswersOfPrefix } = this.faults;
    const isMeant = loseAnswersOfPrefix === null || writtenPrefixes.includes(loseAnswersOfPrefix);
    if (call.ending !== FakeCallEnding.Answered || loseAnswers <= 0 || !isMeant) {
      return call;
    }
    this.faults.loseAnswers -= 1;
    this.stats.lostAnswers += 1;
    return { ending: FakeCallEnding.AnswerLost, result: null };
  }

  private countTransaction(transaction: TableTransaction, result: TransactionResult): void {
    this.stats.transactions += 1;
    if (!result.committed) {
      this.stats.conflicts += 1;
      return;
    }
    const byPrefix = this.stats.rowsWrittenByPrefix;
    this.stats.rowsWritten += transaction.writes.length;
    for (const { key } of transaction.writes) {
      const prefix = prefixOf(key);
      byPrefix[prefix] = (byPrefix[prefix] ?? 0) + 1;
    }
  }
}

/** The part of a key before the first slash. */
function prefixOf(key: string): string {
  return key.split('/', 1)[0] ?? key;
}
