import assert from 'node:assert/strict';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { beforeEach, test } from 'node:test';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import { ManualClock, RandomSource } from '@figjunction/time';
import { MemoryTableService } from '@figjunction/test-support';
import type { Row, TableTransaction, TransactionResult } from '@figjunction/types';
import { PlatformError } from './platform-error.js';
import { RetryBudget } from './retry-budget.js';
import { WriteBatcher } from './write-batcher.js';
import type { WriteOutcome } from './write-item.js';

const DEADLINE_MS = 10_000;
const STEP_MS = 50;

/** Records transactions and can leave one pending forever. */
class RecordingTable extends MemoryTableService {
  transactions: TableTransaction[] = [];

  hangNext = false;

  override transact(transaction: TableTransaction): Promise<TransactionResult> {
    this.transactions.push(transaction);
    if (this.hangNext) {
      this.hangNext = false;
      return new Promise(() => {});
    }
    return super.transact(transaction);
  }
}

let clock: ManualClock;
let table: RecordingTable;
let batcher: WriteBatcher;

beforeEach(() => {
  clock = new ManualClock();
  table = new RecordingTable();
  batcher = new WriteBatcher({ table, clock, random: new RandomSource(1) });
});

function submit(key: string, expectedVersion = 0, n = 1, deadline = DEADLINE_MS) {
  return batcher.submit({ key, expectedVersion, value: { n }, deadline });
}

async function step(times = 1): Promise<void> {
  for (let count = 0; count < times; count += 1) {
    clock.advance(STEP_MS);
    await batcher.flush(clock.now());
    await yieldToEventLoop();
  }
}

async function writeAsOtherClient(key: string, expectedVersion: number): Promise<number> {
  const value = { writeId: 'other-client' };
  const writes = [{ key, expectedVersion, value }];
  const call = await table.platform.transact({ checks: [], writes });
  assert.ok(call.result?.committed);
  return call.result.versions[0] ?? 0;
}

test('writes are batched into at most one transaction per interval', async () => {
  const outcomes = Promise.all(['a', 'b', 'c'].map((key) => submit(key)));
  await step();
  const next = submit('d');
  await step();
  assert.equal(table.transactions.length, 1);
  assert.deepEqual(
    (await outcomes).map((outcome) => outcome.applied),
    [true, true, true],
  );
  await step();
  assert.equal((await next).applied, true);
  assert.equal(table.transactions.length, 2);
});

test('a transaction stays within the limits of rows and of rows plus checks', async () => {
  const checks = Array.from({ length: 60 }, (_value, index) => ({ key: `c/${index}`, version: 0 }));
  const value = { n: 1 };
  const common = { expectedVersion: 0, value, deadline: DEADLINE_MS };
  const wide = batcher.submit({ ...common, key: 'wide-1', checks });
  const other = checks.map(({ key, version }) => ({ key: `other/${key}`, version }));
  const wider = batcher.submit({ ...common, key: 'wide-2', checks: other });
  const narrow = Array.from({ length: 70 }, (_value, index) => submit(`n/${index}`));
  await step(6);
  await Promise.all([wide, wider, ...narrow]);
  for (const { checks: sentChecks, writes } of table.transactions) {
    assert.ok(sentChecks.length + writes.length <= 100);
    assert.ok(writes.length <= 64);
  }
});

test('a conflict fails only the write of the conflicting key', async () => {
  const version = await writeAsOtherClient('a', 0);
  const conflicting = submit('a');
  const other = submit('b');
  await step(4);
  assert.deepEqual(await conflicting, {
    applied: false,
    version,
    current: { key: 'a', version, value: { writeId: 'other-client' } },
  });
  assert.equal((await other).applied, true);
});

test('a failed check fails only the writes that require it and returns their unchanged row', async () => {
  const leaseVersion = await writeAsOtherClient('lease', 0);
  const value = { n: 1 };
  const checks = [{ key: 'lease', version: leaseVersion + 1 }];
  const request = { key: 'a', expectedVersion: 0, value, checks, deadline: DEADLINE_MS };
  const checked = batcher.submit(request);
  const other = submit('b');
  await step(4);
  assert.deepEqual(await checked, { applied: false, version: 0, current: null });
  assert.equal((await other).applied, true);
});

test('two submissions for one key never share a transaction', async () => {
  const first = submit('a', 0, 1);
  const second = submit('a', 0, 2);
  await step(4);
  assert.equal((await first).applied, true);
  assert.equal((await second).applied, false);
  assert.ok(table.transactions.every(({ writes }) => writes.length === 1));
});

test('a write whose response is lost is confirmed by its write id without a second write', async () => {
  table.platform.faults.loseAnswers = 1;
  const outcome = submit('a');
  await step(2);
  const { applied, version, current } = await outcome;
  assert.equal(applied, true);
  assert.equal(version, current?.version);
  assert.equal(table.transactions.length, 1);
});

test('a retry keeps the write id, which is unique to each submission', async () => {
  table.platform.faults.outage = true;
  const outcomes = Promise.all([submit('a'), submit('b')]);
  await step();
  table.platform.faults.outage = false;
  await step(10);
  await outcomes;
  const ids = table.transactions.map(({ writes }) => writes.map((w) => (w.value as Row).writeId));
  assert.equal(ids.length, 2);
  assert.deepEqual(ids[0], ids[1]);
  assert.notEqual(ids[0]?.[0], ids[0]?.[1]);
});

test('a lost response followed by a write of another client gives an unknown outcome', async () => {
  const version = await writeAsOtherClient('a', 0);
  const original = table.transact.bind(table);
  table.transact = async (transaction) => {
    table.transact = original;
    await original(transaction);
    const [row] = await table.read(['a']);
    await writeAsOtherClient('a', row?.version ?? 0);
    throw new PlatformError('no response', { code: ErrorCode.OutcomeUnknown });
  };
  const outcome = submit('a', version);
  await Promise.all([
    assert.rejects(outcome, (error) => errorCodeOf(error) === ErrorCode.OutcomeUnknown),
    step(3),
  ]);
});

const REJECTIONS = [
  { name: 'an outage', faults: { outage: true }, code: ErrorCode.Unavailable },
  { name: 'throttling', faults: { transactionsPerSecond: 0 }, code: ErrorCode.Throttled },
];

REJECTIONS.forEach(({ name, faults, code }) => {
  test(`${name} that lasts until the deadline is reported as no effect`, async () => {
    Object.assign(table.platform.faults, faults);
    const outcome = submit('a', 0, 1, 1_000);
    const rejected = assert.rejects(outcome, (error: PlatformError) => {
      assert.equal(error.code, code);
      return error.hasNoEffect;
    });
    await step(25);
    await rejected;
    assert.ok(table.transactions.length > 1, 'the write was retried');
    assert.equal(batcher.pendingCount, 0);
  });
});

test('a transaction without a response blocks neither flushes nor the deadlines of other writes', async () => {
  table.hangNext = true;
  const hung = submit('a', 0, 1, 500);
  const rejected = assert.rejects(hung, (error: PlatformError) => !error.hasNoEffect);
  await step();
  const queued = submit('b', 0, 1, 500);
  const alsoRejected = assert.rejects(queued, (error: PlatformError) => error.hasNoEffect);
  await step(12);
  await Promise.all([rejected, alsoRejected]);
});

test('retries stay within the budget and the end of an outage is detected', async () => {
  const retryBudget = new RetryBudget({ clock, capacity: 3, minimumPerSecond: 0.5 });
  batcher = new WriteBatcher({ table, clock, random: new RandomSource(1), retryBudget });
  table.platform.faults.outage = true;
  const outcome: Promise<WriteOutcome> = submit('a', 0, 1, 60_000);
  await step(400);
  assert.ok(table.transactions.length <= 4 + 10, `${table.transactions.length} transactions`);
  table.platform.faults.outage = false;
  await step(400);
  assert.equal((await outcome).applied, true);
});

test('a transaction that is rejected as invalid is split, so that only the invalid write fails', async () => {
  const original = table.transact.bind(table);
  table.transact = (transaction) => {
    if (transaction.writes.some(({ key }) => key === 'bad')) {
      table.transactions.push(transaction);
      throw new PlatformError('too large', { code: ErrorCode.TooLarge });
    }
    return original(transaction);
  };
  const good = submit('good');
  const bad = assert.rejects(submit('bad'), /too large/u);
  await step(10);
  assert.equal((await good).applied, true);
  await bad;
});

test('a deletion whose response is lost counts as applied when the row is absent', async () => {
  const version = await writeAsOtherClient('a', 0);
  table.platform.faults.loseAnswers = 1;
  const request = { key: 'a', expectedVersion: version, value: null, deadline: DEADLINE_MS };
  const outcome = batcher.submit(request);
  await step(3);
  assert.deepEqual(await outcome, { applied: true, version: 0, current: null });
});
