/**
 * Process of the fake worker: `node dist/worker-main.js --worker-id vm-1 --platform http://127.0.0.1:1`.
 */
import { parseArgs } from 'node:util';
import { announceReady, stopOnSignal } from './process-main.js';
import { createWorkerServer } from './worker/worker-server.js';

const { values } = parseArgs({
  options: {
    'worker-id': { type: 'string', default: 'worker' },
    host: { type: 'string', default: '127.0.0.1' },
    port: { type: 'string', default: '0' },
    platform: { type: 'string', default: 'http://127.0.0.1:1' },
    'processor-millicores': { type: 'string', default: '16000' },
    'memory-megabytes': { type: 'string', default: '61440' },
    accelerators: { type: 'string', default: '0' },
    'usage-lag-ms': { type: 'string', default: '2000' },
    'service-median-ms': { type: 'string', default: '5' },
    'service-spread': { type: 'string', default: '0.3' },
    seed: { type: 'string', default: '1' },
  },
});

const { server, worker } = createWorkerServer({
  workerId: values['worker-id'],
  host: values.host,
  port: Number(values.port),
  platformAddress: values.platform,
  seed: Number(values.seed),
  capacity: {
    processorMillicores: Number(values['processor-millicores']),
    memoryMegabytes: Number(values['memory-megabytes']),
    accelerators: Number(values.accelerators),
  },
  faults: {
    usageLagMs: Number(values['usage-lag-ms']),
    serviceMedianMs: Number(values['service-median-ms']),
    serviceSpread: Number(values['service-spread']),
  },
});
announceReady(await server.listen());
stopOnSignal(async () => {
  server.closeNow();
  await Promise.all([server.close(), worker.close()]);
});
