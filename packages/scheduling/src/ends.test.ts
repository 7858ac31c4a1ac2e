/**
 * Guards against ends that are acknowledged without being applied and without a trace: their tasks run again, and
 * nothing tells why.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunEnding } from '@figjunction/types';
import { addJob, addVm, createState, createStep, sendReportForOutcome } from './cell-fixture.js';
import { expireVmLeases } from './lease-expiry.js';

const KNOWN_TASK = '00000000000000aa.0.0.0';
const UNKNOWN_TASK = '00000000000000bb.0.0.0';

function createEnd(sequence: number, taskId: string) {
  return { sequence, taskId, run: 1, ending: RunEnding.Done, checkpoint: '' };
}

function createCell() {
  const state = createState();
  const vm = addVm(state);
  addJob(state, { steps: [createStep()] });
  return { state, vm };
}

test('returns the ends of tasks that are not in the tables, once', () => {
  const { state, vm } = createCell();
  const unknown = createEnd(2, UNKNOWN_TASK);
  const ended = [createEnd(1, KNOWN_TASK), unknown];
  const first = sendReportForOutcome(state, vm, { session: 1, ended });
  assert.deepEqual(first.unapplied, [unknown]);
  assert.deepEqual(
    first.ended.map(({ task }) => task.id),
    [KNOWN_TASK],
  );
  assert.equal(vm.lastEndSequence, 2);
  assert.deepEqual(sendReportForOutcome(state, vm, { session: 1, ended }).unapplied, []);
});

test('applies the ends that a session after an expiry of the lease tells, without those applied before', () => {
  const { state, vm } = createCell();
  const applied = createEnd(1, UNKNOWN_TASK);
  sendReportForOutcome(state, vm, { session: 1, ended: [applied] });
  vm.leaseExpiresAt = 1_000;
  expireVmLeases(state, 1_000);
  const changes = { session: 1, ended: [applied, createEnd(2, KNOWN_TASK)] };
  const outcome = sendReportForOutcome(state, vm, changes, 1_100);
  assert.deepEqual(outcome.unapplied, []);
  assert.deepEqual(
    outcome.ended.map(({ task, sequence }) => [task.id, sequence]),
    [[KNOWN_TASK, 2]],
  );
  assert.equal(state.findTask(KNOWN_TASK)?.done, true);
});

test('returns nothing for a new session whose ends are applied', () => {
  const { state, vm } = createCell();
  const changes = { processId: 'process-2', ended: [createEnd(1, KNOWN_TASK)] };
  const outcome = sendReportForOutcome(state, vm, changes);
  assert.deepEqual(outcome.unapplied, []);
  assert.equal(outcome.ended.length, 1);
});
