/**
 * Estimates must correct wrong declared sizes, discount old samples, and not rely on a single sample.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Resources } from '@figjunction/types';
import {
  createEstimateTable,
  estimateRunTimeMs,
  estimateSize,
  isKindSizeKnown,
  recordRunTime,
  recordUsage,
} from './estimate-table.js';

const MINUTE_MS = 60_000;
const DECLARED: Resources = { processorMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 };

function createTableWith(processors: number[], at = 0) {
  const table = createEstimateTable();
  processors.forEach((processorMillicores, index) => {
    const used = { ...DECLARED, processorMillicores };
    recordUsage(table, { taskId: `${at}.${index}`, kind: 'reprint', used, measuredAt: at });
  });
  return table;
}

describe('estimates', () => {
  it('adds a safety margin to the declared size until five tasks have been measured', () => {
    const table = createTableWith([400, 400, 400, 400]);
    assert.equal(isKindSizeKnown(table, 'reprint'), false);
    assert.equal(estimateSize(table, 'reprint', DECLARED).processorMillicores, 1_500);
  });

  it('counts many measurements of one task as one sample', () => {
    const table = createEstimateTable();
    for (let measuredAt = 0; measuredAt < 50; measuredAt += 1) {
      recordUsage(table, { taskId: 'a', kind: 'reprint', used: DECLARED, measuredAt });
    }
    assert.equal(isKindSizeKnown(table, 'reprint'), false);
  });

  it('exceeds the declared size when tasks use five times as much', () => {
    const table = createTableWith([5_000, 5_000, 4_900, 5_000, 5_000]);
    assert.equal(estimateSize(table, 'reprint', DECLARED).processorMillicores, 5_000);
  });

  it('goes below the declared size only with enough samples', () => {
    const few = createTableWith(Array<number>(10).fill(200));
    assert.equal(estimateSize(few, 'reprint', DECLARED).processorMillicores, 1_000);
    const many = createTableWith(Array<number>(30).fill(200));
    assert.equal(estimateSize(many, 'reprint', DECLARED).processorMillicores, 200);
  });

  it('discounts old samples', () => {
    const table = createTableWith(Array<number>(20).fill(5_000));
    for (let index = 0; index < 40; index += 1) {
      const used = { ...DECLARED, processorMillicores: 1_000 };
      const measuredAt = 60 * MINUTE_MS;
      recordUsage(table, { taskId: `later.${index}`, kind: 'reprint', used, measuredAt });
    }
    assert.equal(estimateSize(table, 'reprint', DECLARED).processorMillicores, 1_000);
  });

  it('covers at least 95 % of samples of the same age', () => {
    const samples = fc.array(fc.integer({ min: 1, max: 50_000 }), { minLength: 20, maxLength: 99 });
    fc.assert(
      fc.property(samples, (values) => {
        const estimate = estimateSize(createTableWith(values), 'reprint', DECLARED);
        const covered = values.filter((value) => value <= estimate.processorMillicores).length;
        assert.ok(covered >= 0.95 * values.length - 1e-9);
      }),
      { seed: 7, numRuns: 200 },
    );
  });

  it('estimates a run time only after five tasks have ended', () => {
    const table = createEstimateTable();
    [10, 20, 30, 40].forEach((runTimeMs) => recordRunTime(table, 'reprint', runTimeMs, 0));
    assert.equal(estimateRunTimeMs(table, 'reprint'), null);
    recordRunTime(table, 'reprint', 50, 0);
    assert.equal(estimateRunTimeMs(table, 'reprint'), 50);
  });
});

it('a new sample invalidates the cached estimate', () => {
  const table = createEstimateTable({ samplesToTrust: 1, samplesToShrink: 1 });
  const declared = { processorMillicores: 100, memoryMegabytes: 100, accelerators: 0 };
  const record = (taskId: string, processorMillicores: number): void =>
    recordUsage(table, {
      taskId,
      kind: 'reprint',
      used: { ...declared, processorMillicores },
      measuredAt: 0,
    });
  record('run-1', 50);
  assert.equal(estimateSize(table, 'reprint', declared).processorMillicores, 50);
  record('run-2', 400);
  assert.equal(estimateSize(table, 'reprint', declared).processorMillicores, 400);
});
