/**
 * What every implementation of `TableService` has to do, as tests.
 */
import assert from 'node:assert/strict';
import { after, before, beforeEach, describe, test } from 'node:test';
import { ErrorCode, errorCodeOf } from '@figjunction/errors';
import type { TableService } from '@figjunction/store';
import { ABSENT_VERSION, TRANSACTION_ITEMS_MAXIMUM } from '@figjunction/types';
import type { FakePlatform } from '../platform/fake-platform.js';
import { createPlatformFaults } from '../platform/platform-faults.js';
import type { PlatformFaults } from '../platform/platform-faults.js';

export interface TableServiceFixture {
  table: TableService;
  /** The platform behind the service, to inject faults. */
  platform: FakePlatform;
  close(): Promise<void>;
}

interface FaultCase {
  name: string;
  faults: Partial<PlatformFaults>;
  readCode: ErrorCode | null;
  writeCode: ErrorCode | null;
  writeTakesEffect: boolean;
}

const FAULT_CASES: FaultCase[] = [
  {
    name: 'an outage',
    faults: { outage: true },
    readCode: ErrorCode.Unavailable,
    writeCode: ErrorCode.Unavailable,
    writeTakesEffect: false,
  },
  {
    name: 'a rate over the limit',
    faults: { transactionsPerSecond: 0, readsPerSecond: 0 },
    readCode: ErrorCode.Throttled,
    writeCode: ErrorCode.Throttled,
    writeTakesEffect: false,
  },
  {
    name: 'a lost answer',
    faults: { loseAnswers: 1 },
    readCode: null,
    writeCode: ErrorCode.OutcomeUnknown,
    writeTakesEffect: true,
  },
  {
    name: 'a slow platform',
    faults: { slowMs: 20 },
    readCode: null,
    writeCode: null,
    writeTakesEffect: true,
  },
];

async function codeOf(call: Promise<unknown>): Promise<ErrorCode | null> {
  try {
    await call;
    return null;
  } catch (error) {
    return errorCodeOf(error);
  }
}

export function testTableServiceContract(
  name: string,
  createFixture: () => Promise<TableServiceFixture>,
): void {
  describe(`table service contract: ${name}`, () => {
    let fixture: TableServiceFixture;
    let table: TableService;
    let prefix = '';
    let turn = 0;

    before(async () => {
      fixture = await createFixture();
      ({ table } = fixture);
    });

    beforeEach(() => {
      turn += 1;
      prefix = `turn-${turn}/`;
      Object.assign(fixture.platform.faults, createPlatformFaults());
    });

    after(() => fixture.close());

    async function insert(key: string, value: unknown): Promise<number> {
      const writes = [{ key: prefix + key, expectedVersion: ABSENT_VERSION, value }];
      const result = await table.transact({ checks: [], writes });
      assert.ok(result.committed);
      return result.versions[0] ?? ABSENT_VERSION;
    }

    async function readValue(key: string): Promise<unknown> {
      const [row] = await table.read([prefix + key]);
      return row?.value ?? null;
    }

    test('rows are read in the order of the keys, null for those that do not exist', async () => {
      const version = await insert('b', { n: 1 });
      const rows = await table.read([`${prefix}a`, `${prefix}b`]);
      assert.deepEqual(rows, [null, { key: `${prefix}b`, version, value: { n: 1 } }]);
    });

    test('an update needs the current version and gives a higher one', async () => {
      const version = await insert('a', { n: 1 });
      const writes = [{ key: `${prefix}a`, expectedVersion: version, value: { n: 2 } }];
      const result = await table.transact({ checks: [], writes });
      assert.ok(result.committed);
      assert.ok((result.versions[0] ?? 0) > version);
      assert.deepEqual(await table.transact({ checks: [], writes }), {
        committed: false,
        failedKeys: [`${prefix}a`],
      });
    });

    test('one conflict keeps every write of the transaction out', async () => {
      await insert('a', { n: 1 });
      const writes = [
        { key: `${prefix}a`, expectedVersion: ABSENT_VERSION, value: { n: 2 } },
        { key: `${prefix}b`, expectedVersion: ABSENT_VERSION, value: { n: 2 } },
      ];
      const result = await table.transact({ checks: [], writes });
      assert.deepEqual(result, { committed: false, failedKeys: [`${prefix}a`] });
      assert.equal(await readValue('b'), null);
    });

    test('a check of another version keeps the writes out', async () => {
      const version = await insert('lease', { n: 1 });
      const writes = [{ key: `${prefix}a`, expectedVersion: ABSENT_VERSION, value: { n: 1 } }];
      const key = `${prefix}lease`;
      const refused = await table.transact({ checks: [{ key, version: version + 1 }], writes });
      assert.deepEqual(refused, { committed: false, failedKeys: [key] });
      const accepted = await table.transact({ checks: [{ key, version }], writes });
      assert.ok(accepted.committed);
    });

    test('a row that was deleted and written again has a new version', async () => {
      const key = `${prefix}a`;
      const version = await insert('a', { n: 1 });
      await table.transact({
        checks: [],
        writes: [{ key, expectedVersion: version, value: null }],
      });
      assert.equal(await readValue('a'), null);
      assert.ok((await insert('a', { n: 1 })) > version);
    });

    test('a scan gives pages in key order', async () => {
      for (const key of ['c', 'a', 'b']) {
        await insert(key, { key });
      }
      const first = await table.scan({ prefix, after: '', limit: 2 });
      assert.deepEqual(
        first.rows.map((row) => row.key),
        [`${prefix}a`, `${prefix}b`],
      );
      const second = await table.scan({ prefix, after: first.nextAfter ?? '', limit: 2 });
      assert.deepEqual(
        second.rows.map((row) => row.key),
        [`${prefix}c`],
      );
      assert.equal(second.nextAfter, null);
    });

    test('a transaction over the size limit is refused without effect', async () => {
      const writes = Array.from({ length: TRANSACTION_ITEMS_MAXIMUM + 1 }, (_value, index) => ({
        key: `${prefix}${index}`,
        expectedVersion: ABSENT_VERSION,
        value: { n: 1 },
      }));
      await assert.rejects(table.transact({ checks: [], writes }));
      assert.equal(await readValue('0'), null);
    });

    FAULT_CASES.forEach(({ name: fault, faults, readCode, writeCode, writeTakesEffect }) => {
      test(`${fault} is reported as what it is`, async () => {
        Object.assign(fixture.platform.faults, faults);
        const writes = [{ key: `${prefix}a`, expectedVersion: ABSENT_VERSION, value: { n: 1 } }];
        assert.equal(await codeOf(table.transact({ checks: [], writes })), writeCode);
        assert.equal(await codeOf(table.read([`${prefix}a`])), readCode);
        Object.assign(fixture.platform.faults, createPlatformFaults());
        assert.equal((await readValue('a')) !== null, writeTakesEffect);
      });
    });
  });
}
