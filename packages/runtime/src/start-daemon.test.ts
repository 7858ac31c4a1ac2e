/**
 * Guards against a shutdown that aborts requests, runs twice, or keeps an agent from serving requests while
 * its modules stop, and against a daemon that advertises an address at which other processes cannot reach it.
 */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { HttpClient, sendJson } from '@figjunction/http';
import { createLogger } from '@figjunction/logger';
import { RpcClient } from '@figjunction/rpc';
import { Metrics } from '@figjunction/telemetry';
import { SystemClock } from '@figjunction/time';
import type { DaemonContext } from './start-daemon.js';
import { startDaemon } from './start-daemon.js';

function createContext(advertisedAddress: string | null = null): DaemonContext {
  const sharedToken = 'shared-token-of-a-test';
  const settings = { host: '127.0.0.1', port: 0, advertisedAddress, sharedToken };
  return {
    settings: { ...settings, stopTimeoutMs: 5_000 },
    clock: new SystemClock(),
    logger: createLogger({ name: 'test', level: 'silent' }),
    metrics: new Metrics(),
    rpc: new RpcClient({ sharedToken }),
  };
}

const cases = [
  { answersWhileStopping: true, outcome: 'serves requests' },
  { answersWhileStopping: false, outcome: 'accepts no new connections' },
];
for (const { answersWhileStopping, outcome } of cases) {
  it(`${outcome} while its modules stop, and stops once`, async () => {
    const client = new HttpClient();
    let stops = 0;
    let status: number | null = null;
    const daemon = await startDaemon({
      context: createContext(),
      answersWhileStopping,
      modules: [
        {
          routes: [
            {
              method: 'GET',
              pattern: /^\/$/u,
              async handle({ response }): Promise<void> {
                sendJson(response, 200, {});
              },
            },
          ],
          async stop(): Promise<void> {
            stops += 1;
            const result = await client.request(daemon.address).catch(() => null);
            status = result?.status ?? null;
          },
        },
      ],
    });
    await Promise.all([daemon.stop(), daemon.stop()]);
    client.close();
    assert.equal(stops, 1);
    assert.equal(status, answersWhileStopping ? 200 : null);
  });
}

for (const advertised of ['http://127.0.0.9:7001', null]) {
  it(`advertises ${advertised ?? 'the address it listens on'}`, async () => {
    let reported = '';
    const daemon = await startDaemon({
      context: createContext(advertised),
      modules: [],
      onListening: (address) => {
        reported = address;
      },
    });
    await daemon.stop();
    assert.equal(reported, advertised ?? daemon.address);
    assert.equal(daemon.advertisedAddress, reported);
    assert.match(daemon.address, /^http:\/\/127\.0\.0\.1:/u);
  });
}
