/**
 * Reads rows whose writers are not all known. A row that its schema doesn't accept is left out and logged, once for
 * each of its versions, so that a reader that meets it again and again doesn't fill the log.
 */
import type { EventLog } from '@figjunction/logger';
import type { FeedRow } from '@figjunction/store';
import type { ZodMiniType } from 'zod/mini';

/** Longest key and description of a fault in a log line, in characters. */
const LOGGED_LENGTH_MAXIMUM = 200;
/** The versions of odd rows that are remembered; older ones may be logged again. */
const REMEMBERED_ROWS_MAXIMUM = 1_000;

export class StoredRows {
  /** Versions of the odd rows that have been logged, by collection and key. */
  private readonly loggedVersions = new Map<string, number>();

  constructor(private readonly events: Pick<EventLog, 'write'>) {}

  /** Returns the rows whose values are valid, and those that have been deleted. */
  decode<Value>(collection: string, rows: FeedRow[], schema: ZodMiniType<Value>): FeedRow<Value>[] {
    return rows.flatMap((row): FeedRow<Value>[] => {
      if (row.value === null) {
        return [{ ...row, value: null }];
      }
      const value = this.decodeValue(collection, row, schema);
      return value === null ? [] : [{ ...row, value }];
    });
  }

  /** Returns the value of the row; null if it has none or an invalid one. */
  decodeValue<Value>(
    collection: string,
    row: FeedRow | undefined,
    schema: ZodMiniType<Value>,
  ): Value | null {
    if (row === undefined || row.value === null) {
      return null;
    }
    const { success, data, error } = schema.safeParse(row.value);
    if (success) {
      return data;
    }
    const [issue] = error.issues;
    this.logOnce(collection, row, `${issue?.path.join('.') ?? ''}: ${issue?.message ?? ''}`);
    return null;
  }

  private logOnce(collection: string, { key, version }: FeedRow, fault: string): void {
    const reference = `${collection}/${key}`;
    if (this.loggedVersions.get(reference) === version) {
      return;
    }
    if (this.loggedVersions.size >= REMEMBERED_ROWS_MAXIMUM) {
      this.loggedVersions.clear();
    }
    this.loggedVersions.set(reference, version);
    this.events.write('row-unreadable', {
      collection,
      key: key.slice(0, LOGGED_LENGTH_MAXIMUM),
      version,
      fault: fault.slice(0, LOGGED_LENGTH_MAXIMUM),
    });
  }
}
