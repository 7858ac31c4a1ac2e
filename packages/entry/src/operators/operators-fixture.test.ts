/**
 * Fixture: an entry with the operator routes and an in-process fake platform. This file has no tests.
 */
import { createHash } from 'node:crypto';
import { entrySettingsSchema } from '@figjunction/config';
import { HttpClient, HttpServer } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import { createRpcRoute } from '@figjunction/rpc';
import { FakePlatform, MemoryObjectStore, MemoryTableService } from '@figjunction/test-support';
import type { TickSystem } from '@figjunction/time';
import { DecisionKind, ExplainSubject } from '@figjunction/types';
import type { DecisionRecord } from '@figjunction/types';
import { createEntryContext } from '../entry-context.js';
import type { EntryContext } from '../entry-context.js';
import { createOperatorModule } from './index.js';

export const SHARED_TOKEN = 'shared-token-of-the-test';
export const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' };

function hashOf(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** A valid file; files with different notes differ. */
export function fileWith(note: string): string {
  return JSON.stringify({
    urgencyClasses: [{ name: 'now', rank: 0, guaranteedShare: 0.5 }],
    teams: [
      { name: 'kitchen', urgencies: ['now'], tokens: [{ sha256: hashOf('kitchen-token') }] },
      { name: 'school', urgencies: ['now'], tokens: [{ sha256: hashOf('school-token') }] },
    ],
    operators: [{ name: 'ayse', tokens: [{ sha256: hashOf('operator-token'), note }] }],
  });
}

export function record(fields: Partial<DecisionRecord>): DecisionRecord {
  return {
    subject: ExplainSubject.Request,
    subjectId: 'r-1',
    kind: DecisionKind.Route,
    decidedAt: '2026-01-01T00:00:00.000Z',
    decidedBy: 'entry-1',
    configurationRevision: 1,
    decision: 'route to vm-1',
    inputs: [],
    rejected: [],
    team: 'kitchen',
    ...fields,
  };
}

export interface ApiResponse {
  status: number;
  body: Record<string, unknown>;
}

export class TestEntry {
  readonly context: EntryContext;

  readonly systems: TickSystem[];

  private readonly http = new HttpClient();

  private readonly server: HttpServer;

  constructor(
    entryId: string,
    readonly platform = new FakePlatform(),
  ) {
    this.context = createEntryContext({
      settings: entrySettingsSchema.parse({
        entryId,
        location: LOCATION,
        platformAddress: 'http://127.0.0.1:1',
        sharedToken: SHARED_TOKEN,
      }),
      logger: createLogger({ name: entryId, level: 'silent' }),
      table: new MemoryTableService(platform),
      objects: new MemoryObjectStore(platform),
    });
    const {
      routes = [],
      rpcHandlers: handlers = {},
      systems = [],
    } = createOperatorModule(this.context);
    this.systems = systems;
    this.server = new HttpServer({
      routes: [...routes, createRpcRoute({ sharedToken: SHARED_TOKEN, handlers })],
    });
  }

  get address(): string {
    return this.context.peers.own().address;
  }

  async start(): Promise<void> {
    this.context.peers.setOwnAddress(await this.server.listen());
  }

  async stop(): Promise<void> {
    this.http.close();
    this.context.rpc.close();
    this.server.closeNow();
    await this.server.close();
  }

  async call(
    method: string,
    path: string,
    token: string | null,
    body?: unknown,
  ): Promise<ApiResponse> {
    const response = await this.http.request(`${this.address}${path}`, {
      method,
      headers: token === null ? {} : { authorization: `Bearer ${token}` },
      body: body === undefined ? null : JSON.stringify(body),
    });
    return {
      status: response.status,
      body: JSON.parse(response.body.toString()) as ApiResponse['body'],
    };
  }

  apply(baseRevision: number, body: string, token = 'operator-token'): Promise<ApiResponse> {
    const parameters = { baseRevision, body, fileName: 'f.jsonc' };
    return this.call('POST', '/v1/configuration', token, parameters);
  }
}
