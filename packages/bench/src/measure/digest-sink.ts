/**
 * A stand-in for one more entry that answers digests and counts their bytes on the wire, headers of both
 * directions included. It makes itself known with a digest of its own each second.
 */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { RpcClient } from '@figjunction/rpc';
import { TEST_SHARED_TOKEN } from '@figjunction/test-support';
import { RpcMethod } from '@figjunction/types';
import type { EntryDigestParameters, EntryDigestResult } from '@figjunction/types';
import { mean } from './line-fit.js';

const SINK_ID = 'digest-sink';
const SINK_INCARNATION = '1';
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
const INTERVAL_MS = 1_000;

interface ReceivedDigest {
  bytes: number;
  teams: number;
}

interface DigestCall {
  id: number;
  method: string;
  params: EntryDigestParameters;
}

export class DigestSink {
  private readonly digests: ReceivedDigest[] = [];

  /** Bytes of each connection that earlier digests account for. */
  private readonly countedBytes = new WeakMap<Socket, number>();

  private readonly rpc = new RpcClient({ sharedToken: TEST_SHARED_TOKEN });

  private readonly server = createServer((request, response) => {
    this.answer(request, response).catch(() => response.destroy());
  });

  private timer: NodeJS.Timeout | null = null;

  constructor(private readonly entryAddress: string) {}

  async open(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    await this.announce();
    this.timer = setInterval(() => {
      this.announce().catch(() => {});
    }, INTERVAL_MS);
  }

  async close(): Promise<void> {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
    this.rpc.close();
    this.server.closeAllConnections();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  /** Null before the first digest. */
  bytesPerDigest(): number | null {
    return this.digests.length === 0 ? null : mean(this.digests.map(({ bytes }) => bytes));
  }

  teamsPerDigest(): number | null {
    return this.digests.length === 0 ? null : mean(this.digests.map(({ teams }) => teams));
  }

  private async announce(): Promise<void> {
    const { port } = this.server.address() as AddressInfo;
    await this.rpc.call(this.entryAddress, RpcMethod.EntryDigest, {
      entryId: SINK_ID,
      incarnation: SINK_INCARNATION,
      address: `http://127.0.0.1:${port}`,
      location: LOCATION,
      revision: 0,
      demand: [],
    });
  }

  private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = request;
    const { id, method, params } = await readCall(request);
    if (method !== (RpcMethod.EntryDigest as string)) {
      response.writeHead(404).end();
      return;
    }
    const result: EntryDigestResult = {
      entryId: SINK_ID,
      incarnation: SINK_INCARNATION,
      revision: 0,
    };
    const text = JSON.stringify({ jsonrpc: '2.0', id, result });
    response.writeHead(200, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text, () => {
      const before = this.countedBytes.get(socket) ?? 0;
      const total = socket.bytesRead + socket.bytesWritten;
      this.countedBytes.set(socket, total);
      this.digests.push({ bytes: total - before, teams: params.demand.length });
    });
  }
}

async function readCall(request: IncomingMessage): Promise<DigestCall> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as DigestCall;
}
