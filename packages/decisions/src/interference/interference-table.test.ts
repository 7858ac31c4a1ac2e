/**
 * Checks that a slowdown is attributed to the kind that causes it, and separately for each load band.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { RandomSource } from '@figjunction/time';
import type { TaskUsage } from '@figjunction/types';
import { createInterferenceTable, predictSlowdown, recordVmUsage } from './interference-table.js';

const CAPACITY = { processorMillicores: 10_000, memoryMegabytes: 1, accelerators: 0 };

function usage(kind: string, processorMillicores: number, slowdown: number | null): TaskUsage {
  const used = { processorMillicores, memoryMegabytes: 0, accelerators: 0 };
  return { taskId: `${kind}.1`, kind, used, slowdown };
}

/** Trains a table with measurements of two kinds that have the given coefficients, in one load band. */
function createTrainedTable(noisy: number, quiet: number) {
  const table = createInterferenceTable();
  const random = new RandomSource(3);
  for (let round = 0; round < 400; round += 1) {
    const first = 1_000 + random.below(1_500);
    const second = 1_000 + random.below(1_500);
    const slowdown = 1 + (noisy * first + quiet * second) / CAPACITY.processorMillicores;
    const error = 1 + (random.fraction() - 0.5) * 0.06;
    recordVmUsage(table, CAPACITY, [
      usage('labels', 500, slowdown * error),
      usage('noisy', first, null),
      usage('quiet', second, null),
    ]);
  }
  return table;
}

describe('interference', () => {
  it('distinguishes a noisy kind from a quiet one that always runs on the same VM', () => {
    const table = createTrainedTable(4, 0.1);
    const noisy = predictSlowdown(table, 'labels', [{ kind: 'noisy', share: 0.2 }], 0.4);
    const quiet = predictSlowdown(table, 'labels', [{ kind: 'quiet', share: 0.2 }], 0.4);
    assert.ok(Math.abs(noisy - 1.8) < 0.2, `noisy ${noisy}`);
    assert.ok(quiet < 1.2, `quiet ${quiet}`);
  });

  it('keeps separate coefficients for low and high load', () => {
    const table = createInterferenceTable();
    for (let round = 0; round < 50; round += 1) {
      recordVmUsage(table, CAPACITY, [usage('labels', 100, 1.1), usage('noisy', 2_000, null)]);
      recordVmUsage(table, CAPACITY, [usage('labels', 100, 3), usage('noisy', 9_500, null)]);
    }
    const batch = [{ kind: 'noisy', share: 0.5 }];
    assert.ok(predictSlowdown(table, 'labels', batch, 0.95) > 1.9);
    assert.ok(predictSlowdown(table, 'labels', batch, 0.3) < 1.4);
  });

  it('predicts a small slowdown for a kind that was never measured with the service', () => {
    const table = createInterferenceTable();
    const batch = [{ kind: 'new', share: 0.5 }];
    assert.equal(predictSlowdown(table, 'labels', batch, 0.5), 1.1);
    assert.equal(predictSlowdown(table, 'labels', [], 0.5), 1);
  });
});
