/**
 * Guards against a step that is passed over although there is room for it, and against a look at every VM
 * for each waiting step while all VMs are full.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpecification } from '@figjunction/types';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import type { StepRecord } from './records.js';
import { Shortage } from './shortage.js';

function addStep(state: CellState, id: string, changes: Partial<StepSpecification>): StepRecord {
  const job = addJob(state, { id, steps: [createStep(changes)] });
  const step = job.occurrences.get(0)?.steps[0];
  assert.ok(step !== undefined);
  return step;
}

function ask(processorMillicores: number, memoryMegabytes = 100): Partial<StepSpecification> {
  return { resources: { processorMillicores, memoryMegabytes, accelerators: 0 } };
}

test('covers steps that ask for as much as one that found no room, and no others', () => {
  const state = createState();
  const shortage = new Shortage(state);
  shortage.note(addStep(state, 'aa', ask(2_000)));
  assert.equal(shortage.covers(addStep(state, 'bb', ask(2_000))), true);
  assert.equal(shortage.covers(addStep(state, 'cc', ask(3_000, 500))), true);
  assert.equal(shortage.covers(addStep(state, 'dd', ask(1_900))), false);
  assert.equal(shortage.covers(addStep(state, 'ee', ask(2_000, 50))), false);
});

test('concludes nothing from a step that may use some VMs only', () => {
  const state = createState();
  const shortage = new Shortage(state);
  shortage.note(addStep(state, 'aa', { ...ask(500), requiredLabel: 'b' }));
  shortage.note(addStep(state, 'bb', { ...ask(500), tasksPerVmMaximum: 1 }));
  assert.equal(shortage.covers(addStep(state, 'cc', ask(500))), false);
});

test('does not cover tasks that last, gangs, or the first run of work that fills', () => {
  const state = createState();
  const shortage = new Shortage(state);
  shortage.note(addStep(state, 'aa', ask(100)));
  assert.equal(shortage.covers(addStep(state, 'bb', { ...ask(100), longRunning: true })), false);
  assert.equal(shortage.covers(addStep(state, 'cc', { ...ask(100), gang: true })), false);
  assert.equal(shortage.covers(addStep(state, 'dd', { ...ask(100), fills: true })), false);
});

test('places a small step behind large ones that found no room', () => {
  const state = createState();
  addVm(state);
  addStep(state, 'aa', { ...ask(3_500), taskCount: 2 });
  addStep(state, 'bb', ask(3_500));
  addStep(state, 'cc', ask(500));
  const started = placeTasks(state, 0).started.map(({ task }) => task.step.occurrence.job.id);
  assert.deepEqual(started.sort(), ['bb', 'cc']);
});
