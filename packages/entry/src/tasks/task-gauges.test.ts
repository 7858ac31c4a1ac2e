import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';

function gauge(page: string, name: string): number {
  const line = page.split('\n').find((one) => one.startsWith(`${name} `));
  return Number(line?.split(' ')[1]);
}

// Guards against a restarted entry that looks ready before it has read the rows of its shards.
test('the gauges count owned shards, served shards and rows by state', async () => {
  const fixture = new TaskFixture();
  const entry = fixture.addEntry('entry-1');
  await fixture.run(1_000);
  await submitTasks(fixture, entry, ['a', 'b']);
  await fixture.run(1_000);
  const before = await entry.context.metrics.render();
  assert.equal(gauge(before, 'shards_owned'), 64);
  assert.equal(gauge(before, 'shards_served'), 64);
  assert.equal(gauge(before, 'task_rows{state="pending"}'), 2);
  fixture.platform.faults.outage = true;
  const late = fixture.addEntry('entry-2');
  await fixture.run(1_000);
  const during = await late.context.metrics.render();
  assert.equal(gauge(during, 'shards_served'), 0);
  assert.ok(gauge(during, 'shards_owned') > 0);
});
