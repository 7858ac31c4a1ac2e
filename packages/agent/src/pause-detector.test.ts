/**
 * Guards against running calls that lay in buffers while the process was paused.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { PauseDetector } from './pause-detector.js';

describe('PauseDetector', () => {
  it('reports a resumption whether a call or a beat comes first, and only for a short time', () => {
    const clock = new ManualClock(10_000);
    const detector = new PauseDetector({ clock, pauseMs: 1_000, resumeMs: 300 });
    assert.equal(detector.isResuming(), false);
    clock.advance(1_001);
    assert.equal(detector.isResuming(), true);
    clock.advance(300);
    assert.equal(detector.isResuming(), false);
    clock.advance(5_000);
    detector.beat();
    assert.equal(detector.isResuming(), true);
  });

  it('takes a busy process for running', () => {
    const clock = new ManualClock(0);
    const detector = new PauseDetector({ clock, pauseMs: 1_000, resumeMs: 300 });
    for (let beat = 0; beat < 10; beat += 1) {
      clock.advance(900);
      assert.equal(detector.isResuming(), false);
    }
  });
});
