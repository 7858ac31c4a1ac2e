/**
 * Creates a cell context for tests, with in-memory and stub dependencies.
 */
import { EventLog, createLogger } from '@figjunction/logger';
import { RpcClient } from '@figjunction/rpc';
import { StoreClock } from '@figjunction/store';
import { Metrics } from '@figjunction/telemetry';
import { sleep } from '@figjunction/time';
import type { ManualClock } from '@figjunction/time';
import { Adviser } from './adviser.js';
import type { CellContext } from './cell-context.js';
import { MemoryFeedStore } from './memory-feed-store.js';
import { ConfigurationFeed } from './configuration-feed.js';
import type { ConfigurationChange, ConfigurationWatchOptions } from './configuration-feed.js';
import { ProcessorLoad } from './processor-load.js';

/** Serves one configuration without queues and counts the reads. */
export class StaticConfigurationFeed extends ConfigurationFeed {
  readCount = 0;

  override read(): Promise<ConfigurationChange> {
    this.readCount += 1;
    return Promise.resolve({
      configuration: { revision: 1, queues: [], services: [] },
      version: 1,
      heldMs: 0,
      storeMs: 0,
    });
  }

  override async watch(options: ConfigurationWatchOptions): Promise<ConfigurationChange> {
    const { afterVersion, waitMs } = options;
    await sleep(waitMs);
    return { configuration: null, version: afterVersion, heldMs: waitMs, storeMs: 0 };
  }
}

class DenyingAdviser extends Adviser {
  override advise(): Promise<never[]> {
    return Promise.resolve([]);
  }
}

class NoLoad extends ProcessorLoad {
  override utilization(): number {
    return 0;
  }
}

export function createCellContext(
  clock: ManualClock,
  changes: Partial<CellContext> = {},
): CellContext {
  const logger = createLogger({ name: 'test', level: 'silent' });
  return {
    store: new MemoryFeedStore(clock),
    storeClock: new StoreClock(clock),
    clock,
    events: new EventLog({ logger, now: () => clock.now() }),
    metrics: new Metrics(),
    rpc: new RpcClient({ sharedToken: 'token' }),
    adviser: new DenyingAdviser(),
    configurationFeed: new StaticConfigurationFeed(),
    processorLoad: new NoLoad(),
    address: 'http://127.0.0.1:1',
    processId: 'process-1',
    grantMs: 5_000,
    rowMaximumBytes: 65_536,
    finishedJobRetentionMs: 60_000,
    ...changes,
  };
}
