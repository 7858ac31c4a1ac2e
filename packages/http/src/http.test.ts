/**
 * Guards against answers that are cut short, hang or grow without bound being taken for whole ones, and
 * against bad input that ends the server.
 */
import assert from 'node:assert/strict';
import { EventEmitter, once } from 'node:events';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { after, describe, it } from 'node:test';
import { ErrorCode } from '@figjunction/errors';
import { HttpClient } from './http-client.js';
import { HttpClientError } from './http-error.js';
import { HttpServer, readJson, sendCompactJson, sendJson } from './http-server.js';

const TIMEOUT_MS = 200;
const MAXIMUM_BYTES = 64;

async function listenRaw(onConnection: (socket: Socket) => void): Promise<[string, () => void]> {
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => onConnection(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  return [`http://127.0.0.1:${port}`, () => server.close()];
}

describe('HttpClient', () => {
  const client = new HttpClient();
  after(() => client.close());

  const faults: { name: string; answer: (socket: Socket) => void; code: ErrorCode }[] = [
    {
      name: 'a body shorter than its announced length',
      answer: (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf'),
      code: ErrorCode.Unavailable,
    },
    {
      name: 'a connection closed before the answer',
      answer: (socket) => socket.destroy(),
      code: ErrorCode.Unavailable,
    },
    { name: 'a silent connection', answer: () => {}, code: ErrorCode.TimedOut },
    {
      name: 'a connection that goes silent in the body',
      answer: (socket) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf'),
      code: ErrorCode.TimedOut,
    },
    {
      name: 'an answer over the limit',
      answer: (socket) =>
        socket.end(`HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n${'x'.repeat(100)}`),
      code: ErrorCode.TooLarge,
    },
  ];
  for (const { name, answer, code } of faults) {
    it(`reports ${name} as an error that may have reached the server`, async () => {
      const [address, close] = await listenRaw(answer);
      try {
        await assert.rejects(
          client.request(address, { timeoutMs: TIMEOUT_MS, maximumBytes: MAXIMUM_BYTES }),
          (error: HttpClientError) => error.code === code && error.requestSent,
        );
      } finally {
        close();
      }
    });
  }

  it('knows that a refused connection carried nothing', async () => {
    const [address, close] = await listenRaw(() => {});
    close();
    await assert.rejects(
      client.request(address, { timeoutMs: TIMEOUT_MS }),
      (error: HttpClientError) => !error.requestSent,
    );
  });
});

describe('HttpServer', () => {
  it('answers bad input with one clear error and goes on serving', async () => {
    const client = new HttpClient();
    const server = new HttpServer({
      routes: [
        {
          method: 'POST',
          pattern: /^\/echo$/u,
          async handle({ request, response }): Promise<void> {
            sendJson(response, 200, await readJson(request, MAXIMUM_BYTES));
          },
        },
      ],
    });
    const address = await server.listen();
    const cases = [
      { path: '/echo', body: '{', status: 400 },
      // Over the receive buffer: unread bytes must not block the next request on the connection.
      { path: '/echo', body: 'x'.repeat(3_000_000), status: 413 },
      { path: '/echo', body: JSON.stringify('x'.repeat(MAXIMUM_BYTES)), status: 413 },
      { path: '/other', body: '{}', status: 404 },
      { path: '/echo', body: '{"a":1}', status: 200 },
    ];
    for (const { path, body, status } of cases) {
      const answer = await client.request(`${address}${path}`, { method: 'POST', body });
      assert.equal(answer.status, status, path);
    }
    client.close();
    await server.close();
  });

  it('keeps the connection open without the headers that say so', async () => {
    const client = new HttpClient();
    const seen: { port: number | undefined; connection: string | undefined }[] = [];
    const server = new HttpServer({
      routes: [
        {
          method: 'GET',
          pattern: /^\/compact$/u,
          async handle({ request, response }): Promise<void> {
            const { connection } = request.headers;
            seen.push({ port: request.socket.remotePort, connection });
            sendCompactJson(response, 200, {});
          },
        },
      ],
    });
    const url = `${await server.listen()}/compact`;
    const first = await client.request(url);
    await client.request(url);
    assert.deepEqual(Object.keys(first.headers).sort(), ['content-length', 'content-type']);
    assert.equal(seen[0]?.connection, undefined);
    assert.equal(seen[0]?.port, seen[1]?.port);
    const closing = await client.request(url, { newConnection: true });
    assert.equal(seen[2]?.connection, 'close');
    assert.equal(closing.headers.connection, 'close');
    client.close();
    await server.close();
  });

  it('finishes a request in progress before it closes', async () => {
    const client = new HttpClient();
    const started = new EventEmitter();
    const server = new HttpServer({
      routes: [
        {
          method: 'GET',
          pattern: /^\/slow$/u,
          async handle({ response }): Promise<void> {
            started.emit('started');
            await once(started, 'finish');
            sendJson(response, 200, {});
          },
        },
      ],
    });
    const address = await server.listen();
    const hasStarted = once(started, 'started');
    const answer = client.request(`${address}/slow`);
    await hasStarted;
    const closed = server.close();
    started.emit('finish');
    assert.equal((await answer).status, 200);
    client.close();
    await closed;
  });
});
