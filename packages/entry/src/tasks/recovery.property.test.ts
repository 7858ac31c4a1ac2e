/**
 * Property tests of recovery while two entries act on the same rows concurrently.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { shardOfTeam } from './task-identifiers.js';
import { countRequeues } from './testing/count-requeues.test.js';
import { TaskFixture, submitTasks } from './testing/task-fixture.test.js';

const SHARD_OF_TEAM = shardOfTeam('kitchen');

// Guards against a double requeue when two entries both believe that they own every shard and the table's
// responses get lost.
test('a run is requeued exactly once per fencing and never runs twice at once', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.record({
        lostAnswers: fc.integer({ min: 0, max: 4 }),
        tasks: fc.integer({ min: 1, max: 6 }),
        deadAfterMs: fc.integer({ min: 0, max: 3_000 }),
        outageMs: fc.constantFrom(0, 1_000, 15_000),
      }),
      async ({ lostAnswers, tasks, deadAfterMs, outageMs }) => {
        const fixture = new TaskFixture();
        const entries = ['entry-1', 'entry-2'].map((id) => fixture.addEntry(id));
        const [first] = entries;
        assert.ok(first !== undefined);
        const dead = await fixture.addAgent({ agentId: 'vm-1' });
        const names = Array.from({ length: tasks }, (_, index) => `t${index}`);
        await submitTasks(fixture, first, names);
        await fixture.run(deadAfterMs);
        fixture.alive.delete(dead);
        const stranded = dead.runningTasks().length;
        const other = await fixture.addAgent({
          agentId: 'vm-2',
          capacity: { processorMillicores: 8_000, memoryMegabytes: 8_192, accelerators: 0 },
        });
        fixture.platform.faults.loseAnswers = lostAnswers;
        fixture.platform.faults.outage = outageMs > 0;
        await fixture.run(outageMs);
        fixture.platform.faults.outage = false;
        await fixture.runUntil(() => other.runningTasks().length === tasks, 120_000);
        assert.deepEqual(fixture.illegal, []);
        for (const name of names) {
          assert.ok(countRequeues(fixture, `kitchen.job-1.${name}`) <= 1);
        }
        assert.ok(stranded <= tasks);
        assert.equal(new Set(other.started).size, other.started.length);
      },
    ),
    { numRuns: 25, seed: 7 },
  );
});

// Guards against stale views: an entry that relies on its cached state could exceed the capacity of a VM or
// claim a run twice.
test('two entries with stale views neither exceed a capacity nor claim a run twice', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.integer({ min: 1, max: 12 }), { minLength: 2, maxLength: 4 }),
      fc.integer({ min: 0, max: 2_000 }),
      fc.integer({ min: 0, max: 3 }),
      async (jobSizes, staleMs, lostAnswers) => {
        const fixture = new TaskFixture();
        const entries = ['entry-1', 'entry-2'].map((id) => fixture.addEntry(id));
        for (const agentId of ['vm-1', 'vm-2', 'vm-3']) {
          await fixture.addAgent({ agentId });
        }
        const assertWithinCapacity = (): void =>
          fixture.agents.forEach((agent) => {
            assert.ok(agent.usedMillicores() <= agent.capacity.processorMillicores);
          });
        // Without heartbeats both entries keep the free capacity that the idle agents last reported.
        fixture.heartbeatsPaused = true;
        fixture.platform.faults.loseAnswers = lostAnswers;
        for (const [index, size] of jobSizes.entries()) {
          const names = Array.from({ length: size }, (_, position) => `t${position}`);
          const entry = entries[index % entries.length];
          assert.ok(entry !== undefined);
          // Notifying both entries makes them race for the runs of the job.
          entries.forEach(({ tasks }) => tasks.shards.notify([SHARD_OF_TEAM]));
          await submitTasks(fixture, entry, names, { jobId: `job-${index}` });
          entries.forEach(({ tasks }) => tasks.shards.notify([SHARD_OF_TEAM]));
          assertWithinCapacity();
        }
        await fixture.run(staleMs);
        fixture.heartbeatsPaused = false;
        await fixture.run(2_000);
        assertWithinCapacity();
        assert.deepEqual(fixture.illegal, []);
        const started = fixture.agents.flatMap((agent) => agent.started);
        assert.equal(new Set(started).size, started.length);
      },
    ),
    { numRuns: 20, seed: 11 },
  );
});
