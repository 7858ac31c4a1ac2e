/**
 * Creates the context of a gateway for tests, with an in-memory store and no scheduler, and a job to submit to it.
 */
import { OwnerDirectory } from '@figjunction/scheduler';
import { createCellContext } from '@figjunction/scheduler/cell-context-fixture';
import { MemoryFeedStore } from '@figjunction/scheduler/memory-feed-store';
import { StoreHealth } from '@figjunction/store';
import { ManualClock } from '@figjunction/time';
import type { JobSpecification, QueuePolicy } from '@figjunction/types';
import type { GatewayContext } from './gateway-context.js';
import type { ConfigurationView } from './job-submission.js';

export const QUEUE: QueuePolicy = {
  name: 'labels',
  host: 'labels.example',
  pathPrefix: '/labels/',
  service: 'printing',
  priority: 0,
  attemptsMaximum: 2,
  slackFactor: 2,
  objectiveMs: 1_000,
  advice: null,
};

export const VIEW: ConfigurationView = { revision: 1, configurationAgeMs: 0 };

export const SPECIFICATION: JobSpecification = {
  payload: 'print the labels',
  steps: [
    {
      taskCount: 1,
      resources: { processorMillicores: 500, memoryMegabytes: 10, accelerators: 0 },
      estimateMs: 300,
      after: [],
      checkpoints: false,
      gang: false,
      sameRack: false,
      requiredLabel: null,
      preferredRack: null,
      tasksPerVmMaximum: null,
      duplicatesAllowed: false,
      longRunning: false,
      image: null,
      latencyTargetMs: null,
      fills: false,
      unavailableMaximum: null,
    },
  ],
  occurrences: 0,
  firstDueWallMs: 0,
  intervalMs: 0,
};

export interface GatewayContextFixture extends GatewayContext {
  store: MemoryFeedStore;
  clock: ManualClock;
}

export function createGatewayContext(): GatewayContextFixture {
  const clock = new ManualClock(1_000);
  const store = new MemoryFeedStore(clock);
  const context = createCellContext(clock, { store });
  const directory = new OwnerDirectory(context);
  return { ...context, store, clock, directory, storeHealth: new StoreHealth(clock) };
}
