import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANYWHERE, size, vm } from './placement-fixture.test.js';
import { PossibleFit, possibleFit } from './possible-fit.js';

test('possible fit tells a VM class that is too small from one that is absent', () => {
  const small = [vm('vm-1')];
  assert.equal(possibleFit(size(4_000), ANYWHERE, small), PossibleFit.Possible);
  assert.equal(possibleFit(size(4_001), ANYWHERE, small), PossibleFit.TooLarge);
  const elsewhere = { ...ANYWHERE, racks: ['r9'] };
  assert.equal(possibleFit(size(1), elsewhere, small), PossibleFit.NoVm);
});
