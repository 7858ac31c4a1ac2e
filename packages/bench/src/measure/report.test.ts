import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ratiosOf } from './report.js';

test('a ratio is left out when a figure is missing or the baseline is zero', () => {
  const baseline = { p99Ms: 10, evictions: 0, missing: null };
  const product = { p99Ms: 5, evictions: 2, missing: 3, onlyHere: 1 };
  assert.deepEqual(ratiosOf(baseline, product), {
    p99Ms: 0.5,
    evictions: null,
    missing: null,
    onlyHere: null,
  });
});
