/**
 * Guards against running calls that waited in socket buffers while the process was paused.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ManualClock } from '@figjunction/time';
import { PauseDetector } from './pause-detector.js';

describe('PauseDetector', () => {
  it('reports a resumption for a short time, whether a call or a timer check comes first', () => {
    const clock = new ManualClock(10_000);
    const detector = new PauseDetector({ clock, pauseMs: 1_000, resumeMs: 300 });
    assert.equal(detector.isResuming(), false);
    clock.advance(1_001);
    assert.equal(detector.isResuming(), true);
    clock.advance(300);
    assert.equal(detector.isResuming(), false);
    clock.advance(5_000);
    detector.check();
    assert.equal(detector.isResuming(), true);
  });

  it('does not report a resumption for a busy process', () => {
    const clock = new ManualClock(0);
    const detector = new PauseDetector({ clock, pauseMs: 1_000, resumeMs: 300 });
    for (let step = 0; step < 10; step += 1) {
      clock.advance(900);
      assert.equal(detector.isResuming(), false);
    }
  });
});
