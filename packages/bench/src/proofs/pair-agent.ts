/**
 * One agent of a request pair: its attempt part in this process, a target that records what it executed,
 * and the faulty link to both.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createAgentContext, createAttemptModule } from '@figjunction/agent';
import type { AgentContext } from '@figjunction/agent';
import { agentSettingsSchema } from '@figjunction/config';
import { HttpServer } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import { createRpcRoute } from '@figjunction/rpc';
import { MemoryTableService } from '@figjunction/test-support';
import type { TickSystem } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type { AgentReport } from '@figjunction/types';
import type { Worker } from '@figjunction/worker';
import { FaultyLink } from './faulty-link.js';

export const PAIR_SERVICE = 'labels';
export const SHARED_TOKEN = 'shared-token-of-a-pair';
export const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
export const NO_RESOURCES = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };

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

function listen(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}
