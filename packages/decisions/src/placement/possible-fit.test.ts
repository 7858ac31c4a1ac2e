import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ANYWHERE, size, vm } from './placement-fixture.test.js';
import { PossibleFit, possibleFit } from './possible-fit.js';

test('distinguishes allowed VMs that are too small from no allowed VM at all', () => {
  const small = [vm('vm-1')];
  assert.equal(possibleFit(size(4_000), ANYWHERE, small), PossibleFit.Possible);
  assert.equal(possibleFit(size(4_001), ANYWHERE, small), PossibleFit.TooLarge);
  const elsewhere = { ...ANYWHERE, racks: ['r9'] };
  assert.equal(possibleFit(size(1), elsewhere, small), PossibleFit.NoVm);
});
