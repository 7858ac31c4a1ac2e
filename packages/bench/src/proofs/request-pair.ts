/**
 * An entry and agents in one process, with a faulty link between them and targets that record what they
 * executed. For tests of the request path; the proofs use separate processes.
 */
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAgentContext, createAttemptModule } from '@figjunction/agent';
import type { AgentContext } from '@figjunction/agent';
import {
  agentSettingsSchema,
  entrySettingsSchema,
  operatorConfigurationSchema,
} from '@figjunction/config';
import { createEntryContext, createRequestModule } from '@figjunction/entry';
import type { EntryContext } from '@figjunction/entry';
import { HttpClient, HttpServer } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import { createRpcRoute } from '@figjunction/rpc';
import { FakePlatform, MemoryObjectStore, MemoryTableService } from '@figjunction/test-support';
import { TickLoop } from '@figjunction/time';
import type { TickSystem } from '@figjunction/time';
import { AgentState, claimKey } from '@figjunction/types';
import type { ClaimRow, AgentReport, VersionedRow } from '@figjunction/types';
import type { Worker } from '@figjunction/worker';
import { FaultyLink } from './faulty-link.js';

export const PAIR_TOKEN = 'token-of-the-only-team';
const PAIR_SERVICE = 'labels';

const SHARED_TOKEN = 'shared-token-of-a-pair';
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
const NO_RESOURCES = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

/** How a target treats one request. */
export type TargetBehaviour = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

export const answerOk: TargetBehaviour = (_request, response, body) => {
  const text = `answer to ${body}`;
  response.writeHead(200, { 'content-type': 'text/plain', 'content-length': text.length });
  response.end(text);
};

class PairTarget {
  /** Bodies that this target executed, in order. */
  readonly executed: string[] = [];

  behaviour: TargetBehaviour = answerOk;

  address = '';

  private readonly server: Server = createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('end', () => {
      if (request.method === 'POST') {
        this.executed.push(body);
      }
      this.behaviour(request, response, body);
    });
  });

  async listen(): Promise<void> {
    this.address = await listen(this.server);
  }

  cutConnections(): void {
    this.server.closeAllConnections();
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** One agent process, reduced to its attempt part, behind a faulty link. */
export class PairAgent {
  readonly target = new PairTarget();

  readonly link = new FaultyLink();

  context!: AgentContext;

  private server!: HttpServer;

  private sequence = 0;

  private systems: TickSystem[] = [];

  constructor(readonly agentId: string) {}

  get taskId(): string {
    return `instance-${PAIR_SERVICE}-${this.agentId}`;
  }

  async start(): Promise<void> {
    await this.target.listen();
    await this.startProcess(1);
    await this.link.listen(() => this.context.address);
  }

  /** Replaces the process: what it knew of attempts is gone. */
  async restart(): Promise<void> {
    const { incarnation } = this.context;
    this.server.closeNow();
    await this.server.close();
    await this.startProcess(incarnation + 1);
  }

  /** What the tick loop of a daemon does. */
  runSystems(): void {
    this.systems.forEach(({ run }) => {
      Promise.resolve(run(this.context.clock.now())).catch(() => {});
    });
  }

  heartbeat(): AgentReport {
    this.sequence += 1;
    return {
      agentId: this.agentId,
      incarnation: this.context.incarnation,
      sequence: this.sequence,
      state: this.context.state,
      address: this.link.address,
      location: LOCATION,
      capacity: NO_RESOURCES,
      free: NO_RESOURCES,
      instances: this.context.instances
        .all()
        .map((instance) => ({ ...instance, ready: !instance.draining })),
      tasks: [],
      usage: [],
      wantsWork: false,
      revision: 1,
      confirmed: true,
    };
  }

  close(): void {
    this.target.close();
    this.link.close();
    this.server.closeNow();
    this.server.close().catch(() => {});
  }

  private async startProcess(incarnation: number): Promise<void> {
    this.context = createAgentContext({
      settings: agentSettingsSchema.parse({
        agentId: this.agentId,
        location: LOCATION,
        platformAddress: 'http://127.0.0.1:1',
        sharedToken: SHARED_TOKEN,
        workerAddress: 'http://127.0.0.1:1',
      }),
      logger: createLogger({ name: this.agentId, level: 'silent' }),
      table: new MemoryTableService(),
      worker: {} as Worker,
    });
    this.context.incarnation = incarnation;
    this.context.state = AgentState.Serving;
    this.context.instances.set({
      taskId: this.taskId,
      service: PAIR_SERVICE,
      attempt: 1,
      targetAddress: this.target.address,
      slots: 8,
      slotsUsed: 0,
      connections: 64,
      connectionsUsed: 0,
      draining: false,
    });
    const { routes = [], rpcHandlers = {}, systems = [] } = createAttemptModule(this.context);
    this.systems = systems;
    this.server = new HttpServer({
      routes: [...routes, createRpcRoute({ sharedToken: SHARED_TOKEN, handlers: rpcHandlers })],
    });
    this.context.address = await this.server.listen();
  }
}

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

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}
