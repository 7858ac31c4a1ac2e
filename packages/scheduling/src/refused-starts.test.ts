/**
 * Guards against a task that VMs refuse each time and that takes room and calls again and again at once.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { StartRefusal } from '@figjunction/types';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import { applyOrderResponses } from './reports.js';
import type { RunRecord } from './records.js';

const TICK_MS = 20;

function answer(
  state: CellState,
  { task, run, vm, attempt }: RunRecord,
  refusal: StartRefusal | null,
  now: number,
): void {
  const answers = [{ taskId: task.id, run, attempt, refusal }];
  applyOrderResponses(state, vm, { answers }, now);
}

/** Places at intervals from `from` to `until` and refuses each start. Returns the number of starts. */
function countRefusedStarts(state: CellState, from: number, until: number): number {
  let starts = 0;
  for (let now = from; now < until; now += TICK_MS) {
    for (const run of placeTasks(state, now).started) {
      starts += 1;
      answer(state, run, StartRefusal.InvalidRequest, now);
    }
  }
  return starts;
}

test('starts a task that VMs refuse each time about once a second', () => {
  const state = createState();
  addVm(state);
  addJob(state, { steps: [createStep()] });
  assert.ok(countRefusedStarts(state, 0, 3_000) <= 8);
  assert.ok(countRefusedStarts(state, 3_000, 13_000) <= 11);
});

test('starts a task at once again that a VM has refused twice', () => {
  const state = createState();
  addVm(state);
  addJob(state, { steps: [createStep()] });
  assert.equal(countRefusedStarts(state, 0, 3 * TICK_MS), 3);
});

test('counts refusals anew after a start that a VM has confirmed', () => {
  const state = createState();
  addVm(state);
  const [step] = [...(addJob(state, { steps: [createStep()] }).occurrences.get(0)?.steps ?? [])];
  countRefusedStarts(state, 0, 3_000);
  const [run] = placeTasks(state, 5_000).started;
  assert.ok(run !== undefined);
  answer(state, run, null, 5_000);
  assert.equal(step?.tasks[0]?.refusals, 0);
});
