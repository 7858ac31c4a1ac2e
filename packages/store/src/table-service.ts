/**
 * Interface of the platform's transactional table.
 */
import type {
  TableScanParameters,
  TableScanResult,
  TableTransaction,
  TransactionResult,
  VersionedRow,
} from '@figjunction/types';

export abstract class TableService {
  /** Reads rows by key, in the order of the keys; null for a row that does not exist. */
  abstract read<Value>(keys: string[]): Promise<(VersionedRow<Value> | null)[]>;

  /** Reads one page of rows whose keys start with a prefix. */
  abstract scan<Value>(parameters: TableScanParameters): Promise<TableScanResult<Value>>;

  /**
   * Applies all writes or none. Throws a `PlatformError` with `ErrorCode.OutcomeUnknown` when the response was
   * lost, and with any other code when the transaction had no effect.
   */
  abstract transact(transaction: TableTransaction): Promise<TransactionResult>;
}
