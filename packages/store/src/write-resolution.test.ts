import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CurrentRows, WriteItem } from './write-item.js';
import { ItemFate, fatesAfterLostAnswer } from './write-resolution.js';

interface ItemCase {
  expectedVersion: number;
  mayHaveLanded?: boolean;
  /** Version of the row now, and whether it shows the item's write. */
  version: number;
  isOwn?: boolean;
}

interface FateCase {
  name: string;
  items: ItemCase[];
  fates: ItemFate[];
  mayHaveLanded?: boolean[];
}

const CASES: FateCase[] = [
  {
    name: 'one visible write proves its whole transaction',
    items: [
      { expectedVersion: 1, version: 5, isOwn: true },
      { expectedVersion: 2, version: 9 },
    ],
    fates: [ItemFate.Applied, ItemFate.Applied],
  },
  {
    name: 'a write that an earlier transaction may have made proves nothing about the others',
    items: [
      { expectedVersion: 1, version: 5, isOwn: true, mayHaveLanded: true },
      { expectedVersion: 2, version: 9 },
    ],
    fates: [ItemFate.Applied, ItemFate.Unknown],
  },
  {
    name: 'one unchanged row proves that the transaction has not and cannot take effect any more',
    items: [
      { expectedVersion: 1, version: 1 },
      { expectedVersion: 2, version: 9 },
    ],
    fates: [ItemFate.Pending, ItemFate.Conflict],
    mayHaveLanded: [false, false],
  },
  {
    name: 'a transaction whose rows are all unchanged may still take effect',
    items: [
      { expectedVersion: 1, version: 1 },
      { expectedVersion: 0, version: 0 },
    ],
    fates: [ItemFate.Pending, ItemFate.Pending],
    mayHaveLanded: [true, true],
  },
  {
    name: 'an absent row proves nothing, because it may have come and gone',
    items: [
      { expectedVersion: 0, version: 0 },
      { expectedVersion: 2, version: 9 },
    ],
    fates: [ItemFate.Pending, ItemFate.Unknown],
  },
];

function createItem(
  index: number,
  { expectedVersion, mayHaveLanded = false }: ItemCase,
): WriteItem {
  return {
    key: `k${index}`,
    expectedVersion,
    value: { writeId: `w${index}` },
    checks: [],
    deadline: 0,
    mayHaveLanded,
    alone: false,
    isSettled: false,
    lastError: null,
    resolve() {},
    reject() {},
  };
}

CASES.forEach(({ name, items, fates, mayHaveLanded }) => {
  test(name, () => {
    const list = items.map((item, index) => createItem(index, item));
    const rows: CurrentRows = new Map(
      items.map(({ version, isOwn = false }, index) => {
        const key = `k${index}`;
        const value = { writeId: isOwn ? `w${index}` : 'foreign' };
        return [key, version === 0 ? null : { key, version, value }];
      }),
    );
    assert.deepEqual(fatesAfterLostAnswer(list, rows), fates);
    if (mayHaveLanded !== undefined) {
      assert.deepEqual(
        list.map((item) => item.mayHaveLanded),
        mayHaveLanded,
      );
    }
  });
});
