/**
 * Guards against a summary log line whose length grows with the number of VMs.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeTasks } from '@figjunction/scheduling';
import { addJob, addVm, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { summarizeCell } from './cell-summary.js';

const MAXIMUM_LINE_LENGTH = 500;

test('summarizes all VMs in a line of bounded length', () => {
  const state = createState();
  for (let index = 0; index < 300; index += 1) {
    addVm(state, `vm-${index}`);
  }
  state.addVm('vm-without-report', 'http://127.0.0.1:1');
  addJob(state, { steps: [createStep({ taskCount: 5 })] });
  placeTasks(state, 0);
  const summary = summarizeCell(state);
  assert.equal(summary.runs, 5);
  assert.equal(summary.usedMillicores, 5_000);
  assert.equal(summary.vms, 300);
  assert.equal(summary.vmsWithoutSession, 1);
  assert.ok(JSON.stringify(summary).length < MAXIMUM_LINE_LENGTH);
});
