/**
 * The table service over HTTP (section 16.2 of the design).
 */
import { HttpClient } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import type {
  TableScanParameters,
  TableScanResult,
  TableTransaction,
  TransactionResult,
  VersionedRow,
} from '@figjunction/types';
import { CallEffect, lostAnswer, parseBody, refusal } from './platform-call.js';
import { TableService } from './table-service.js';

export interface HttpPlatformOptions {
  /** `http://<ip>:<port>`. */
  address: string;
  timeoutMs?: number;
  /** A client to share; the owner closes it. */
  client?: HttpClient;
}

const DEFAULT_TIMEOUT_MS = 5_000;
const CONFLICT_STATUS = 409;
const FIRST_ERROR_STATUS = 300;

export class HttpTableService extends TableService {
  private readonly client: HttpClient;

  private readonly timeoutMs: number;

  constructor(private readonly options: HttpPlatformOptions) {
    super();
    this.client = options.client ?? new HttpClient();
    this.timeoutMs = options.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  }

  close(): void {
    this.client.close();
  }

  override async read<Value>(keys: string[]): Promise<(VersionedRow<Value> | null)[]> {
    const answer = await this.post('/table/read', CallEffect.Read, { keys });
    const { rows } = parseAnswer<{ rows: (VersionedRow<Value> | null)[] }>(
      'reading rows',
      CallEffect.Read,
      answer,
    );
    return rows;
  }

  override async scan<Value>(parameters: TableScanParameters): Promise<TableScanResult<Value>> {
    const answer = await this.post('/table/scan', CallEffect.Read, parameters);
    return parseAnswer<TableScanResult<Value>>('scanning rows', CallEffect.Read, answer);
  }

  override async transact(transaction: TableTransaction): Promise<TransactionResult> {
    const answer = await this.post('/table/transact', CallEffect.Write, transaction);
    if (answer.status === CONFLICT_STATUS) {
      const body = parseBody<{ failedKeys: string[] }>('a transaction', CallEffect.Write, answer);
      return { committed: false, failedKeys: body.failedKeys };
    }
    const { versions } = parseAnswer<{ versions: number[] }>(
      'a transaction',
      CallEffect.Write,
      answer,
    );
    return { committed: true, versions };
  }

  private async post(path: string, effect: CallEffect, body: unknown): Promise<HttpAnswer> {
    const url = `${this.options.address}${path}`;
    try {
      return await this.client.request(url, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(body),
        timeoutMs: this.timeoutMs,
      });
    } catch (error) {
      throw lostAnswer(`the table at ${url}`, effect, error);
    }
  }
}

function parseAnswer<Result>(what: string, effect: CallEffect, answer: HttpAnswer): Result {
  if (answer.status >= FIRST_ERROR_STATUS) {
    throw refusal(what, effect, answer);
  }
  return parseBody<Result>(what, effect, answer);
}
