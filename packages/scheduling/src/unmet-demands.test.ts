/**
 * Guards against skipping a step that fits on a VM, and against searching all VMs for each waiting step while
 * all of them are full.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpecification } from '@figjunction/types';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import type { StepRecord } from './records.js';
import { UnmetDemands } from './unmet-demands.js';

function addStep(state: CellState, id: string, changes: Partial<StepSpecification>): StepRecord {
  const job = addJob(state, { id, steps: [createStep(changes)] });
  const step = job.occurrences.get(0)?.steps[0];
  assert.ok(step !== undefined);
  return step;
}

function needing(processorMillicores: number, memoryMegabytes = 100): Partial<StepSpecification> {
  return { resources: { processorMillicores, memoryMegabytes, accelerators: 0 } };
}

test('rules out only demands at least as large as a recorded one', () => {
  const state = createState();
  const unmetDemands = new UnmetDemands(state);
  unmetDemands.record(addStep(state, 'aa', needing(2_000)));
  assert.equal(unmetDemands.rulesOut(addStep(state, 'bb', needing(2_000))), true);
  assert.equal(unmetDemands.rulesOut(addStep(state, 'cc', needing(3_000, 500))), true);
  assert.equal(unmetDemands.rulesOut(addStep(state, 'dd', needing(1_900))), false);
  assert.equal(unmetDemands.rulesOut(addStep(state, 'ee', needing(2_000, 50))), false);
});

test('records nothing for a step that may use only some of the VMs', () => {
  const state = createState();
  const unmetDemands = new UnmetDemands(state);
  unmetDemands.record(addStep(state, 'aa', { ...needing(500), requiredLabel: 'b' }));
  unmetDemands.record(addStep(state, 'bb', { ...needing(500), tasksPerVmMaximum: 1 }));
  assert.equal(unmetDemands.rulesOut(addStep(state, 'cc', needing(500))), false);
});

test('does not rule out long-running tasks, gangs, or the first run of a filler job', () => {
  const state = createState();
  const unmetDemands = new UnmetDemands(state);
  unmetDemands.record(addStep(state, 'aa', needing(100)));
  assert.equal(
    unmetDemands.rulesOut(addStep(state, 'bb', { ...needing(100), longRunning: true })),
    false,
  );
  assert.equal(unmetDemands.rulesOut(addStep(state, 'cc', { ...needing(100), gang: true })), false);
  assert.equal(
    unmetDemands.rulesOut(addStep(state, 'dd', { ...needing(100), fills: true })),
    false,
  );
});

test('places a small step after large ones that fit on no VM', () => {
  const state = createState();
  addVm(state);
  addStep(state, 'aa', { ...needing(3_500), taskCount: 2 });
  addStep(state, 'bb', needing(3_500));
  addStep(state, 'cc', needing(500));
  const started = placeTasks(state, 0).started.map(({ task }) => task.step.occurrence.job.id);
  assert.deepEqual(started.sort(), ['bb', 'cc']);
});
