/**
 * Guards against a series of failed requests, one for each pooled connection, after connections have fallen silent.
 */
import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';
import { after, before, beforeEach, test } from 'node:test';
import { HttpClient } from './http-client.js';

const TIMEOUT_MS = 100;
const CONNECTIONS = 5;
const ANSWER = 'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n';

const silent = new Set<Socket>();
const open = new Set<Socket>();
let server: Server;
let address = '';
let client: HttpClient;

before(async () => {
  server = createServer((socket) => {
    open.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => open.delete(socket));
    socket.on('data', () => !silent.has(socket) && socket.write(ANSWER));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
});

beforeEach(async () => {
  client?.close();
  client = new HttpClient();
  await Promise.all(Array.from({ length: CONNECTIONS }, () => request()));
  open.forEach((socket) => silent.add(socket));
});

after(() => {
  client.close();
  open.forEach((socket) => socket.destroy());
  server.close();
});

function request(signal?: AbortSignal): Promise<unknown> {
  return client.request(address, { timeoutMs: TIMEOUT_MS, signal });
}

test('fails one request alone when all pooled connections have fallen silent', async () => {
  await assert.rejects(request(), /in time/u);
  await request();
});

test('fails no request over an idle connection while another call keeps succeeding', async () => {
  await assert.rejects(request(), /in time/u);
  await Promise.all(Array.from({ length: CONNECTIONS }, () => request()));
  await Promise.all(Array.from({ length: CONNECTIONS }, () => request()));
});

test('keeps idle connections when a caller gives its request up', async () => {
  await assert.rejects(request(AbortSignal.abort()));
  await assert.rejects(request(), /in time/u);
});
