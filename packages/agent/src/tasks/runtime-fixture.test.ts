/**
 * Creates the task state of an agent without running its systems.
 */
import { agentSettingsSchema } from '@figjunction/config';
import { createLogger } from '@figjunction/logger';
import { FakeWorker, MemoryTableService } from '@figjunction/test-support';
import type { Resources } from '@figjunction/types';
import { createAgentContext } from '../agent-context.js';
import { FakeEntry, LOCATION } from './fake-entry.test.js';
import { LocalWorker } from './local-worker.test.js';
import { getTaskRuntime } from './task-runtime.js';

const PLATFORM = 'http://127.0.0.1:1';
const TOKEN = 'shared-token-of-the-test';
export const SIXTEEN_CORES: Resources = {
  processorMillicores: 16_000,
  memoryMegabytes: 16_000,
  accelerators: 0,
};

export async function createRuntime() {
  const settings = agentSettingsSchema.parse({
    agentId: 'vm-1',
    location: LOCATION,
    platformAddress: PLATFORM,
    workerAddress: PLATFORM,
    sharedToken: TOKEN,
  });
  const worker = new FakeWorker({
    workerId: 'vm-1',
    capacity: SIXTEEN_CORES,
    platformAddress: PLATFORM,
  });
  await worker.close();
  const table = new MemoryTableService();
  const context = createAgentContext({
    settings,
    logger: createLogger({ name: 'vm-1', level: 'silent' }),
    table,
    worker: new LocalWorker(worker, SIXTEEN_CORES),
  });
  context.configuration.accept(new FakeEntry(table, TOKEN).slice);
  context.capacityReport.capacity = SIXTEEN_CORES;
  return getTaskRuntime(context);
}
