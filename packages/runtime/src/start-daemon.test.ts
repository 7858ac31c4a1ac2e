/**
 * Guards against a stop that cuts requests, runs twice, or leaves an agent unable to answer while it stops.
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

function createContext(): DaemonContext {
  const sharedToken = 'shared-token-of-a-test';
  return {
    settings: { host: '127.0.0.1', port: 0, sharedToken, stopTimeoutMs: 5_000 },
    clock: new SystemClock(),
    logger: createLogger({ name: 'test', level: 'silent' }),
    metrics: new Metrics(),
    rpc: new RpcClient({ sharedToken }),
  };
}

const cases = [
  { answersWhileStopping: true, outcome: 'answers' },
  { answersWhileStopping: false, outcome: 'takes no new connections' },
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
            const answer = await client.request(daemon.address).catch(() => null);
            status = answer?.status ?? null;
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
