/**
 * Guards against a take-over from a scheduler that is alive and about to renew its lease, and against a
 * cell that nobody takes over.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { OwnerView } from '@figjunction/scheduler';
import { Silence, Succession } from './takeover-policy.js';

function createView(changes: Partial<OwnerView> = {}): OwnerView {
  return {
    owner: { epoch: 4, address: 'owner', processId: 'owner-process' },
    ownerVersion: 10,
    lease: { epoch: 4, leasedUntilStoreMs: 5_000 },
    leaseVersion: 20,
    storeMs: 6_000,
    ...changes,
  };
}

function createSuccession(): Succession {
  return new Succession({ address: 'mine', processId: 'my-process' });
}

test('lets a scheduler that answers renew its lease after an outage of the store', () => {
  const succession = createSuccession();
  assert.equal(succession.mayTakeOver(createView(), Silence.Refused, 4, 1_000), false);
  assert.equal(succession.mayTakeOver(createView(), Silence.Refused, 4, 1_900), false);
  const renewed = createView({ leaseVersion: 21 });
  assert.equal(succession.mayTakeOver(renewed, Silence.Refused, 4, 2_500), false);
});

test('takes over from a scheduler that answers but does not renew its lease', () => {
  const succession = createSuccession();
  succession.mayTakeOver(createView(), Silence.Refused, 4, 1_000);
  assert.equal(succession.mayTakeOver(createView(), Silence.Refused, 4, 2_300), true);
});

test('takes over at once when the lease of a silent scheduler is over, and not before', () => {
  const succession = createSuccession();
  assert.equal(succession.mayTakeOver(createView(), Silence.Unanswered, 4, 0), true);
  const leased = createView({ storeMs: 4_999 });
  assert.equal(succession.mayTakeOver(leased, Silence.Unanswered, 4, 0), false);
});

test('takes over before the end of the lease when another process has replaced the owner', () => {
  const leased = createView({ storeMs: 4_000 });
  assert.equal(createSuccession().mayTakeOver(leased, Silence.OtherProcess, 4, 0), true);
  assert.equal(createSuccession().mayTakeOver(leased, Silence.OtherProcess, 3, 0), false);
  const successor = new Succession({ address: 'owner', processId: 'next-process' });
  assert.equal(successor.mayTakeOver(leased, Silence.Unknown, 4, 0), true);
});
