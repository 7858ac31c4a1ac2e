/**
 * Guards against ticks that keep a saturated scheduler from answering its runners, so that VMs get no session.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { computeTickRestFactor } from './tick-rest.js';

test('leaves at least three quarters of the time to other work while the process is saturated', () => {
  const tickShare = 1 / (1 + computeTickRestFactor(1));
  assert.ok(tickShare <= 0.25);
});

test('lets ticks use half of the time while the process is not saturated', () => {
  const tickShare = 1 / (1 + computeTickRestFactor(0.5));
  assert.equal(tickShare, 0.5);
});
