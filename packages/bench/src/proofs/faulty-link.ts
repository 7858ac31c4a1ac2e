/**
 * An HTTP hop between entry and agent that loses, delays, repeats or cuts single messages.
 */
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { sleep } from '@figjunction/time';

export enum LinkFault {
  None = 'none',
  /** The message does not arrive and the connection breaks. */
  CutBefore = 'cut-before',
  /** The message arrives and the connection breaks at once. */
  CutDuring = 'cut-during',
  /** The message is answered and the connection breaks before the answer. */
  CutAfter = 'cut-after',
  /** The message does not arrive and the connection stays open. */
  SilentBefore = 'silent-before',
  /** The message is answered, the answer is lost and the connection stays open. */
  SilentAfter = 'silent-after',
  /** Half of the answer arrives. */
  Truncated = 'truncated',
  /** The message arrives long after the entry gave its connection up. */
  LateAfterCut = 'late-after-cut',
  /** The message arrives late on an open connection. */
  Late = 'late',
  /** The message arrives twice; the first answer counts. */
  Duplicated = 'duplicated',
}

const LATE_MS = 450;

/** Decides the fault of one message from its JSON-RPC method. */
export type FaultPlan = (method: string) => LinkFault;

interface Message {
  path: string;
  headers: IncomingMessage['headers'];
  body: Buffer;
}

interface Answer {
  status: number;
  body: Buffer;
}

export class FaultyLink {
  address = '';

  plan: FaultPlan = () => LinkFault.None;

  private forwardTo: () => string = () => '';

  /** Messages that were held back and still travel. */
  private readonly travelling = new Set<Promise<unknown>>();

  private readonly server: Server = createServer((request, response) => {
    this.relay(request, response).catch(() => response.destroy());
  });

  async listen(forwardTo: () => string): Promise<void> {
    this.forwardTo = forwardTo;
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Waits for messages that arrive late. */
  async settle(): Promise<void> {
    await Promise.allSettled(this.travelling);
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async relay(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readAll(request);
    const message = { path: request.url ?? '/', headers: request.headers, body };
    if (request.method === 'GET') {
      this.pipe(message, response);
      return;
    }
    const { method } = JSON.parse(body.toString()) as { method: string };
    await this.apply(this.plan(method), message, response);
  }

  private async apply(fault: LinkFault, message: Message, response: ServerResponse): Promise<void> {
    switch (fault) {
      case LinkFault.CutBefore:
        response.destroy();
        break;
      case LinkFault.SilentBefore:
        break;
      case LinkFault.CutDuring:
        this.later(this.forward(message));
        response.destroy();
        break;
      case LinkFault.CutAfter:
        await this.forward(message);
        response.destroy();
        break;
      case LinkFault.SilentAfter:
        await this.forward(message);
        break;
      case LinkFault.LateAfterCut:
        this.later(sleep(LATE_MS).then(() => this.forward(message)));
        response.destroy();
        break;
      default:
        await this.answer(fault, message, response);
    }
  }

  private async answer(
    fault: LinkFault,
    message: Message,
    response: ServerResponse,
  ): Promise<void> {
    if (fault === LinkFault.Late) {
      await sleep(LATE_MS);
    }
    const first = this.forward(message);
    if (fault === LinkFault.Duplicated) {
      this.later(sleep(LATE_MS / 2).then(() => this.forward(message)));
    }
    const { status, body } = await first;
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': body.length,
    });
    if (fault === LinkFault.Truncated) {
      response.write(body.subarray(0, body.length / 2), () => response.destroy());
      return;
    }
    response.end(body);
  }

  private later(work: Promise<unknown>): void {
    const tracked = work.catch(() => {}).finally(() => this.travelling.delete(tracked));
    this.travelling.add(tracked);
  }

  private forward(message: Message): Promise<Answer> {
    return new Promise((resolve, reject) => {
      const { headers, body, path } = message;
      const request = httpRequest(
        `${this.forwardTo()}${path}`,
        { method: 'POST', agent: false, headers: { ...headers, connection: 'close' } },
        (answer) => {
          readAll(answer).then((answered) => {
            resolve({ status: answer.statusCode ?? 0, body: answered });
          }, reject);
        },
      );
      request.on('error', reject);
      request.end(body);
    });
  }

  private pipe({ path, headers }: Message, response: ServerResponse): void {
    const request = httpRequest(
      `${this.forwardTo()}${path}`,
      { agent: false, headers },
      (answer) => {
        response.writeHead(answer.statusCode ?? 0, answer.headers);
        answer.pipe(response);
        response.on('close', () => answer.destroy());
      },
    );
    request.on('error', () => response.destroy());
    request.end();
  }
}

async function readAll(stream: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of stream) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
}
