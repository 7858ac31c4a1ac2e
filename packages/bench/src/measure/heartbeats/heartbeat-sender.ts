/**
 * Sends the heartbeats of many simulated VMs to one entry over connections whose bytes are counted, with the
 * headers that the RPC client of an agent sends.
 */
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { HeartbeatComposer } from '@figjunction/agent';
import { RPC_PATH, bearerHeader } from '@figjunction/rpc';
import { TEST_SHARED_TOKEN } from '@figjunction/test-support';
import { HeartbeatReception, RpcMethod } from '@figjunction/types';
import type { HeartbeatParameters, HeartbeatResult } from '@figjunction/types';
import type { SimulatedVm } from './simulated-vm.js';

interface SimulatedAgent {
  vm: SimulatedVm;
  composer: HeartbeatComposer;
  entriesVersion: string;
}

export class HeartbeatSender {
  /** Heartbeats that the entry did not take; the figures count only when there are none. */
  refused = 0;

  private readonly agents: SimulatedAgent[];

  private readonly sockets = new Set<Socket>();

  private readonly connections = new Agent({ keepAlive: true });

  constructor(
    private readonly address: string,
    vms: SimulatedVm[],
    /** False sends the whole state each time. */
    private readonly onlyChanges: boolean,
  ) {
    this.agents = vms.map((vm) => ({ vm, composer: new HeartbeatComposer(), entriesVersion: '' }));
  }

  /** Sends one heartbeat of each VM and waits for the answers. */
  async announceAll(second: number): Promise<void> {
    await Promise.all(this.agents.map((agent) => this.announce(agent, second)));
  }

  /** Bytes in both directions so far, HTTP headers included. */
  bytes(): number {
    return [...this.sockets].reduce(
      (sum, socket) => sum + socket.bytesRead + socket.bytesWritten,
      0,
    );
  }

  close(): void {
    this.connections.destroy();
  }

  private async announce(agent: SimulatedAgent, second: number): Promise<void> {
    agent.composer.update(agent.vm.describe(second));
    const heartbeat = agent.composer.compose(this.address, agent.entriesVersion);
    const result = await this.post(heartbeat);
    if (result.reception !== HeartbeatReception.Taken) {
      this.refused += 1;
    }
    if (this.onlyChanges) {
      agent.composer.recordReception(this.address, heartbeat, result.reception);
      agent.entriesVersion = result.list?.version ?? agent.entriesVersion;
    }
  }

  private post(heartbeat: HeartbeatParameters): Promise<HeartbeatResult> {
    const method = RpcMethod.AgentHeartbeat;
    const body = JSON.stringify({ jsonrpc: '2.0', id: 1, method, params: heartbeat });
    return new Promise((resolve, reject) => {
      const sent = request(`${this.address}${RPC_PATH}`, {
        method: 'POST',
        agent: this.connections,
        headers: {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(body),
          authorization: bearerHeader(TEST_SHARED_TOKEN),
        },
      });
      sent.removeHeader('connection');
      sent.on('socket', (socket) => this.sockets.add(socket));
      sent.on('error', reject);
      sent.on('response', (answer) => {
        const chunks: Buffer[] = [];
        answer.on('data', (chunk: Buffer) => chunks.push(chunk));
        answer.on('end', () => {
          const text = Buffer.concat(chunks).toString('utf8');
          resolve((JSON.parse(text) as { result: HeartbeatResult }).result);
        });
      });
      sent.end(body);
    });
  }
}
