/**
 * `TableService` and `ObjectStore` over a fake platform in the same process, for unit tests.
 */
import { ErrorCode } from '@figjunction/errors';
import { ObjectStore, PlatformError, TableService } from '@figjunction/store';
import type {
  TableScanParameters,
  TableScanResult,
  TableTransaction,
  TransactionResult,
  VersionedRow,
} from '@figjunction/types';
import { FakeCallEnding, FakePlatform } from './fake-platform.js';
import type { FakeCall } from './fake-platform.js';

export class MemoryTableService extends TableService {
  constructor(readonly platform: FakePlatform = new FakePlatform()) {
    super();
  }

  override async read<Value>(keys: string[]): Promise<(VersionedRow<Value> | null)[]> {
    return unwrap(await this.platform.read(keys)) as (VersionedRow<Value> | null)[];
  }

  override async scan<Value>(parameters: TableScanParameters): Promise<TableScanResult<Value>> {
    return unwrap(await this.platform.scan(parameters)) as TableScanResult<Value>;
  }

  override async transact(transaction: TableTransaction): Promise<TransactionResult> {
    return unwrap(await this.platform.transact(transaction));
  }
}

export class MemoryObjectStore extends ObjectStore {
  constructor(readonly platform: FakePlatform = new FakePlatform()) {
    super();
  }

  override async put(key: string, body: Buffer): Promise<void> {
    unwrap(await this.platform.putObject(key, body));
  }

  override async get(key: string): Promise<Buffer | null> {
    return unwrap(await this.platform.getObject(key));
  }

  override async remove(key: string): Promise<void> {
    unwrap(await this.platform.removeObject(key));
  }
}

const CODE_BY_ENDING: Record<FakeCallEnding, ErrorCode> = {
  [FakeCallEnding.Answered]: ErrorCode.Internal,
  [FakeCallEnding.Throttled]: ErrorCode.Throttled,
  [FakeCallEnding.Outage]: ErrorCode.Unavailable,
  [FakeCallEnding.AnswerLost]: ErrorCode.OutcomeUnknown,
};

function unwrap<Result>(call: FakeCall<Result>): Result {
  if (call.ending !== FakeCallEnding.Answered) {
    throw new PlatformError(`the platform did not answer: ${call.ending}`, {
      code: CODE_BY_ENDING[call.ending],
    });
  }
  return call.result as Result;
}
