/**
 * Process of the fake platform: `node dist/platform-main.js --port 0`.
 */
import { parseArgs } from 'node:util';
import { FakePlatform } from './platform/fake-platform.js';
import { createPlatformServer } from './platform/platform-server.js';
import { announceReady, stopOnSignal } from './process-main.js';

const { values } = parseArgs({
  options: {
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    'transactions-per-second': { type: 'string', default: '400' },
    'reads-per-second': { type: 'string', default: '2000' },
  },
});

const platform = new FakePlatform({
  transactionsPerSecond: Number(values['transactions-per-second']),
  readsPerSecond: Number(values['reads-per-second']),
});
const server = createPlatformServer({ platform, host: values.host, port: Number(values.port) });
announceReady(await server.listen());
stopOnSignal(() => {
  server.closeNow();
  return server.close();
});
