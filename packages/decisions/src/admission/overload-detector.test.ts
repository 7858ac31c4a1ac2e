import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OVERLOAD_MS, WaitControl } from './overload-detector.js';

// Guards against refusing bursts, and against a standing queue that only adds latency.
test('a queue is overloaded only after it was not empty for a while', () => {
  const control = new WaitControl();
  control.note('urgent', 5, 0);
  assert.equal(control.isOverloaded('urgent', OVERLOAD_MS), false);
  control.note('urgent', 5, OVERLOAD_MS + 1);
  assert.equal(control.isOverloaded('urgent', OVERLOAD_MS + 1), true);
  assert.equal(control.isOverloaded('idle', OVERLOAD_MS + 1), false);
  control.note('urgent', 0, OVERLOAD_MS + 2);
  assert.equal(control.isOverloaded('urgent', OVERLOAD_MS + 2), false);
});
