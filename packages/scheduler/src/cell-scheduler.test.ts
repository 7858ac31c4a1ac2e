/**
 * Guards against every process reading the configuration. A configuration with many routes then saturates
 * the link between two regions, reports of runners are lost, and the leases of their VMs expire.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ManualClock, sleep } from '@figjunction/time';
import { StaticConfigurationFeed, createCellContext } from './cell-context-fixture.js';
import { CellScheduler } from './cell-scheduler.js';
import { OwnerDirectory } from './owner-directory.js';

test('reads the configuration only once it schedules', async () => {
  const feed = new StaticConfigurationFeed();
  const context = createCellContext(new ManualClock(1_000), { configurationFeed: feed });
  const directory = new OwnerDirectory(context);
  const scheduler = new CellScheduler({ context, directory });
  const view = await directory.refresh();
  await sleep(50);
  assert.equal(feed.readCount, 0);
  assert.ok(view !== null);
  context.storeClock.observe(view.storeMs, context.clock.now());
  await scheduler.takeOver(view, 'no scheduler is known');
  assert.equal(feed.readCount, 1);
  assert.ok(scheduler.isOwner);
  await scheduler.stop();
});
