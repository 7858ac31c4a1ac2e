/**
 * An entry and agents in one process, with a faulty link between them and targets that record what they
 * executed. For tests of the request path; the proofs use separate processes.
 */
import { createHash } from 'node:crypto';
import { entrySettingsSchema, operatorConfigurationSchema } from '@figjunction/config';
import { createEntryContext, createRequestModule } from '@figjunction/entry';
import type { EntryContext } from '@figjunction/entry';
import { HttpClient, HttpServer } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import { FakePlatform, MemoryObjectStore, MemoryTableService } from '@figjunction/test-support';
import { TickLoop } from '@figjunction/time';
import { claimKey } from '@figjunction/types';
import type { ClaimRow, VersionedRow } from '@figjunction/types';
import { LOCATION, NO_RESOURCES, PAIR_SERVICE, PairAgent, SHARED_TOKEN } from './pair-agent.js';

export const PAIR_TOKEN = 'token-of-the-only-team';

export interface PairRequest {
  body: string;
  entry?: number;
  requestId?: string;
  idempotent?: boolean;
  timeoutMs?: number;
  headers?: Record<string, string>;
}

export class RequestPair {
  readonly platform = new FakePlatform({ transactionsPerSecond: 1e6, readsPerSecond: 1e6 });

  readonly agents: PairAgent[] = [];

  readonly entries: EntryContext[] = [];

  readonly http = new HttpClient();

  private readonly loops: TickLoop[] = [];

  private readonly servers: HttpServer[] = [];

  private readonly addresses: string[] = [];

  async start(agents = 1, entries = 1): Promise<void> {
    for (let index = 0; index < agents; index += 1) {
      const agent = new PairAgent(`vm-${index + 1}`);
      this.agents.push(agent);
      await agent.start();
    }
    for (let index = 0; index < entries; index += 1) {
      await this.startEntry(`entry-${index + 1}`);
    }
    this.announce();
  }

  /** Tells all entries what the agents would say in a heartbeat. */
  announce(): void {
    for (const entry of this.entries) {
      for (const agent of this.agents) {
        entry.agents.accept(agent.heartbeat(), entry.clock.now());
      }
    }
  }

  executions(body: string): number {
    return this.agents
      .flatMap(({ target }) => target.executed)
      .filter((executed) => executed === body).length;
  }

  send(request: PairRequest): Promise<HttpAnswer> {
    const { body, entry = 0, requestId, idempotent = false, timeoutMs = 5_000 } = request;
    return this.http.request(`${this.addresses[entry]}/v1/services/${PAIR_SERVICE}/requests`, {
      method: 'POST',
      headers: {
        authorization: `Bearer ${PAIR_TOKEN}`,
        'content-type': 'text/plain',
        'figjunction-idempotent': String(idempotent),
        'figjunction-timeout-ms': String(timeoutMs),
        ...(requestId === undefined ? {} : { 'figjunction-request-id': requestId }),
        ...request.headers,
      },
      body,
      timeoutMs: timeoutMs + 2_000,
    });
  }

  readClaim(requestId: string): Promise<(VersionedRow<ClaimRow> | null)[]> {
    return new MemoryTableService(this.platform).read<ClaimRow>([claimKey('kitchen', requestId)]);
  }

  watchUrl(cursor: string): string {
    return `${this.addresses[0]}/v1/services/${PAIR_SERVICE}/watch?cursor=${cursor}`;
  }

  close(): void {
    this.http.close();
    this.agents.forEach((agent) => agent.close());
    this.loops.forEach((loop) => {
      loop.stop().catch(() => {});
    });
    for (const server of this.servers) {
      server.closeNow();
      server.close().catch(() => {});
    }
    this.entries.forEach((entry) => entry.rpc.close());
  }

  private async startEntry(entryId: string): Promise<void> {
    const context = createEntryContext({
      settings: entrySettingsSchema.parse({
        entryId,
        location: LOCATION,
        platformAddress: 'http://127.0.0.1:1',
        sharedToken: SHARED_TOKEN,
      }),
      logger: createLogger({ name: entryId, level: 'silent' }),
      table: new MemoryTableService(this.platform),
      objects: new MemoryObjectStore(this.platform),
    });
    context.configuration.accept({
      revision: 1,
      bodyHash: '',
      body: '',
      configuration: pairConfiguration(),
    });
    const { routes = [], systems = [] } = createRequestModule(context);
    const loop = new TickLoop({ clock: context.clock, systems });
    loop.start();
    this.loops.push(loop);
    const server = new HttpServer({ routes });
    this.entries.push(context);
    this.servers.push(server);
    this.addresses.push(await server.listen());
  }
}

function pairConfiguration() {
  const sha256 = createHash('sha256').update(PAIR_TOKEN).digest('hex');
  return operatorConfigurationSchema.parse({
    urgencyClasses: [{ name: 'interactive', rank: 0, guaranteedShare: 0.5 }],
    services: [
      { name: PAIR_SERVICE, urgency: 'interactive', instances: 1, size: NO_RESOURCES },
      { name: 'absent', urgency: 'interactive', instances: 0, size: NO_RESOURCES },
    ],
    teams: [
      {
        name: 'kitchen',
        urgencies: ['interactive'],
        requestsPerSecond: 100_000,
        tokens: [{ sha256 }],
      },
    ],
  });
}
