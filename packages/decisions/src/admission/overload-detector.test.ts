import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OVERLOAD_DETECTION_MS, OverloadDetector } from './overload-detector.js';

// Checks that bursts are not refused and that a standing queue, which only adds latency, is detected.
test('a class is overloaded only after its queue has been non-empty for the detection time', () => {
  const detector = new OverloadDetector();
  detector.recordWaiting('urgent', 5, 0);
  assert.equal(detector.isOverloaded('urgent', OVERLOAD_DETECTION_MS), false);
  detector.recordWaiting('urgent', 5, OVERLOAD_DETECTION_MS + 1);
  assert.equal(detector.isOverloaded('urgent', OVERLOAD_DETECTION_MS + 1), true);
  assert.equal(detector.isOverloaded('idle', OVERLOAD_DETECTION_MS + 1), false);
  detector.recordWaiting('urgent', 0, OVERLOAD_DETECTION_MS + 2);
  assert.equal(detector.isOverloaded('urgent', OVERLOAD_DETECTION_MS + 2), false);
});
