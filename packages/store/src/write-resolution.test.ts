import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CurrentRows, WriteItem } from './write-item.js';
import { ItemOutcome, determineOutcomesAfterLostResponse } from './write-resolution.js';

interface ItemCase {
  expectedVersion: number;
  mayHaveCommitted?: boolean;
  /** Current version of the row. */
  version: number;
  /** Whether the row has the item's write id. */
  isOwn?: boolean;
}

interface ResolutionCase {
  name: string;
  items: ItemCase[];
  outcomes: ItemOutcome[];
  mayHaveCommitted?: boolean[];
}

const CASES: ResolutionCase[] = [
  {
    name: 'one visible write proves that its whole transaction committed',
    items: [
      { expectedVersion: 1, version: 5, isOwn: true },
      { expectedVersion: 2, version: 9 },
    ],
    outcomes: [ItemOutcome.Applied, ItemOutcome.Applied],
  },
  {
    name: 'a visible write proves nothing about other items when an earlier transaction may have made it',
    items: [
      { expectedVersion: 1, version: 5, isOwn: true, mayHaveCommitted: true },
      { expectedVersion: 2, version: 9 },
    ],
    outcomes: [ItemOutcome.Applied, ItemOutcome.Unknown],
  },
  {
    name: 'an unchanged row beside a changed one proves that the transaction never commits',
    items: [
      { expectedVersion: 1, version: 1 },
      { expectedVersion: 2, version: 9 },
    ],
    outcomes: [ItemOutcome.Pending, ItemOutcome.Conflict],
    mayHaveCommitted: [false, false],
  },
  {
    name: 'a transaction whose rows are all unchanged may still commit',
    items: [
      { expectedVersion: 1, version: 1 },
      { expectedVersion: 0, version: 0 },
    ],
    outcomes: [ItemOutcome.Pending, ItemOutcome.Pending],
    mayHaveCommitted: [true, true],
  },
  {
    name: 'an absent row proves nothing, because it may have been inserted and deleted again',
    items: [
      { expectedVersion: 0, version: 0 },
      { expectedVersion: 2, version: 9 },
    ],
    outcomes: [ItemOutcome.Pending, ItemOutcome.Unknown],
  },
];

function createItem(
  index: number,
  { expectedVersion, mayHaveCommitted = false }: ItemCase,
): WriteItem {
  return {
    key: `k${index}`,
    expectedVersion,
    value: { writeId: `w${index}` },
    checks: [],
    deadline: 0,
    mayHaveCommitted,
    isSentAlone: false,
    isSettled: false,
    lastError: null,
    resolve() {},
    reject() {},
  };
}

CASES.forEach(({ name, items, outcomes, mayHaveCommitted }) => {
  test(name, () => {
    const list = items.map((item, index) => createItem(index, item));
    const rows: CurrentRows = new Map(
      items.map(({ version, isOwn = false }, index) => {
        const key = `k${index}`;
        const value = { writeId: isOwn ? `w${index}` : 'other-client' };
        return [key, version === 0 ? null : { key, version, value }];
      }),
    );
    assert.deepEqual(determineOutcomesAfterLostResponse(list, rows), outcomes);
    if (mayHaveCommitted !== undefined) {
      assert.deepEqual(
        list.map((item) => item.mayHaveCommitted),
        mayHaveCommitted,
      );
    }
  });
});
