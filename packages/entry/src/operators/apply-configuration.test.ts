import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { CONFIGURATION_KEY } from '@figjunction/types';
import type { ConfigurationRow, TableTransaction } from '@figjunction/types';
import { SHARED_TOKEN, TestEntry, fileWith } from './operators-fixture.test.js';

let entry: TestEntry;

beforeEach(async () => {
  entry = new TestEntry('entry-1');
  await entry.start();
});

afterEach(() => entry.stop());

test('the shared token can apply the first file and loses its operator rights then', async () => {
  assert.deepEqual((await entry.apply(0, fileWith('a'), SHARED_TOKEN)).body, { revision: 1 });
  assert.equal(
    entry.context.configuration.revision(),
    1,
    'the entry that applied the file adopts it immediately',
  );
  assert.equal((await entry.apply(1, fileWith('b'), SHARED_TOKEN)).status, 401);
  assert.equal((await entry.call('GET', '/v1/status', SHARED_TOKEN)).status, 200);
});

test('a file based on an older revision gets a conflict with the current one and changes nothing', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  await entry.apply(1, fileWith('b'));
  const { status, body } = await entry.apply(1, fileWith('c'));
  assert.equal(status, 409);
  assert.equal(body.currentRevision, 2);
  assert.equal(body.currentBody, fileWith('b'));
  assert.equal(entry.context.configuration.revision(), 2);
});

test('a client that retries an applied file gets its revision, not a conflict', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  await entry.apply(1, fileWith('b'));
  assert.deepEqual((await entry.apply(1, fileWith('b'))).body, { revision: 2 });
  await entry.apply(2, fileWith('c'));
  assert.deepEqual((await entry.apply(1, fileWith('b'))).body, { revision: 2 });
  assert.equal(entry.context.configuration.revision(), 3);
});

test('a lost response to a successful write is resolved by the write id in the row', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const { table } = entry.context;
  const transact = table.transact.bind(table);
  table.transact = (transaction): ReturnType<typeof transact> => {
    entry.platform.faults.loseAnswers = 1;
    table.transact = transact;
    return transact(transaction);
  };
  assert.deepEqual((await entry.apply(1, fileWith('b'))).body, { revision: 2 });
  assert.equal(entry.platform.stats.lostAnswers, 1);
});

test('a lost response from the object store only retries the write of the body', async () => {
  entry.platform.faults.loseAnswers = 1;
  assert.deepEqual((await entry.apply(0, fileWith('a'), SHARED_TOKEN)).body, { revision: 1 });
});

test('a write with a lost response counts as applied even if a newer file follows', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const { table } = entry.context;
  const transact = table.transact.bind(table);
  table.transact = async (transaction: TableTransaction): ReturnType<typeof transact> => {
    table.transact = transact;
    await transact(transaction);
    assert.deepEqual((await entry.apply(2, fileWith('c'))).body, { revision: 3 });
    return transact(transaction);
  };
  assert.deepEqual((await entry.apply(1, fileWith('b'))).body, { revision: 2 });
  assert.equal(entry.context.configuration.revision(), 3, 'the newer revision stays in force');
});

test('an apply during a platform outage fails with 503 and changes nothing', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  entry.platform.faults.outage = true;
  assert.equal((await entry.apply(1, fileWith('b'))).status, 503);
  const shown = await entry.call('GET', '/v1/configuration', 'operator-token');
  assert.equal(
    shown.body.body,
    fileWith('a'),
    'the revision in force is readable without the table',
  );
  entry.platform.faults.outage = false;
  const [row] = await entry.context.table.read<ConfigurationRow>([CONFIGURATION_KEY]);
  assert.equal(row?.value.revision, 1);
});

test('the history lists who applied each revision and gives access to earlier bodies', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  await entry.apply(1, fileWith('b'));
  const { revisions } = (await entry.call('GET', '/v1/configuration/history', 'operator-token'))
    .body as {
    revisions: { revision: number; appliedBy: string }[];
  };
  assert.deepEqual(
    revisions.map(({ revision, appliedBy }) => [revision, appliedBy]),
    [
      [2, 'ayse'],
      [1, 'bootstrap'],
    ],
  );
  const first = await entry.call('GET', '/v1/configuration?revision=1', 'operator-token');
  assert.equal(first.body.body, fileWith('a'));
  assert.equal(
    (await entry.call('GET', '/v1/configuration?revision=7', 'operator-token')).status,
    404,
  );
});
