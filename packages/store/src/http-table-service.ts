/**
 * HTTP client of the table service. The protocol is in section 16.2 of the design.
 */
import type { HttpAnswer } from '@figjunction/http';
import type {
  TableScanParameters,
  TableScanResult,
  TableTransaction,
  TransactionResult,
  VersionedRow,
} from '@figjunction/types';
import { CallEffect, parseBody } from './platform-call.js';
import { PlatformClient } from './platform-client.js';
import type { HttpPlatformOptions, PlatformCall } from './platform-client.js';
import { TableService } from './table-service.js';

const DEFAULT_TIMEOUT_MS = 5_000;
const CONFLICT_STATUS = 409;

type TableCall = Pick<PlatformCall, 'operation' | 'effect' | 'path' | 'acceptedStatuses'>;

const READ: TableCall = { operation: 'reading rows', effect: CallEffect.Read, path: '/table/read' };

const SCAN: TableCall = {
  operation: 'scanning rows',
  effect: CallEffect.Read,
  path: '/table/scan',
};

const TRANSACT: TableCall = {
  operation: 'a transaction',
  effect: CallEffect.Write,
  path: '/table/transact',
  acceptedStatuses: [CONFLICT_STATUS],
};

export class HttpTableService extends TableService {
  private readonly client: PlatformClient;

  constructor({ address, timeoutMs = DEFAULT_TIMEOUT_MS }: HttpPlatformOptions) {
    super();
    this.client = new PlatformClient({ address, timeoutMs });
  }

  close(): void {
    this.client.close();
  }

  override async read<Value>(keys: string[]): Promise<(VersionedRow<Value> | null)[]> {
    const response = await this.post(READ, { keys });
    return parse<{ rows: (VersionedRow<Value> | null)[] }>(READ, response).rows;
  }

  override async scan<Value>(parameters: TableScanParameters): Promise<TableScanResult<Value>> {
    return parse(SCAN, await this.post(SCAN, parameters));
  }

  override async transact(transaction: TableTransaction): Promise<TransactionResult> {
    const response = await this.post(TRANSACT, transaction);
    if (response.status === CONFLICT_STATUS) {
      const { failedKeys } = parse<{ failedKeys: string[] }>(TRANSACT, response);
      return { committed: false, failedKeys };
    }
    const { versions } = parse<{ versions: number[] }>(TRANSACT, response);
    return { committed: true, versions };
  }

  private post(call: TableCall, body: unknown): Promise<HttpAnswer> {
    return this.client.call({
      ...call,
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
    });
  }
}

function parse<Result>({ operation, effect }: TableCall, response: HttpAnswer): Result {
  return parseBody<Result>(operation, effect, response);
}
