/**
 * Guards against taking over from a live scheduler that can still renew its lease, and against a cell that no
 * process takes over.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { OwnerView } from '@figjunction/scheduler';
import { SchedulerFailure, TakeoverPolicy } from './takeover-policy.js';

function createView(changes: Partial<OwnerView> = {}): OwnerView {
  return {
    owner: { epoch: 4, address: 'owner', processId: 'owner-process' },
    ownerVersion: 10,
    lease: { epoch: 4, leasedUntilStoreMs: 5_000 },
    leaseVersion: 20,
    highestEpoch: 4,
    storeMs: 6_000,
    ...changes,
  };
}

function createPolicy(): TakeoverPolicy {
  return new TakeoverPolicy({ address: 'mine', processId: 'my-process' });
}

test('gives a responding scheduler time to renew its lease after an outage of the store', () => {
  const policy = createPolicy();
  assert.equal(policy.mayTakeOver(createView(), SchedulerFailure.NoSession, 4, 1_000), false);
  assert.equal(policy.mayTakeOver(createView(), SchedulerFailure.NoSession, 4, 1_900), false);
  const renewed = createView({ leaseVersion: 21 });
  assert.equal(policy.mayTakeOver(renewed, SchedulerFailure.NoSession, 4, 2_500), false);
});

test('takes over from a responding scheduler that does not renew its lease in time', () => {
  const policy = createPolicy();
  policy.mayTakeOver(createView(), SchedulerFailure.NoSession, 4, 1_000);
  assert.equal(policy.mayTakeOver(createView(), SchedulerFailure.NoSession, 4, 2_300), true);
});

test('takes over from an unreachable scheduler as soon as its lease has expired, not before', () => {
  const policy = createPolicy();
  assert.equal(policy.mayTakeOver(createView(), SchedulerFailure.NoResponse, 4, 0), true);
  const leased = createView({ storeMs: 4_999 });
  assert.equal(policy.mayTakeOver(leased, SchedulerFailure.NoResponse, 4, 0), false);
});

test('takes over before the lease expires when another process has replaced the owner', () => {
  const leased = createView({ storeMs: 4_000 });
  assert.equal(createPolicy().mayTakeOver(leased, SchedulerFailure.NotScheduling, 4, 0), true);
  assert.equal(createPolicy().mayTakeOver(leased, SchedulerFailure.NotScheduling, 3, 0), false);
  const successor = new TakeoverPolicy({ address: 'owner', processId: 'next-process' });
  assert.equal(successor.mayTakeOver(leased, SchedulerFailure.NoneKnown, 4, 0), true);
});
