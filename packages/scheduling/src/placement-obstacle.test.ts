/**
 * Guards against a log that does not tell whether filler tasks wait for processor time or for what serving tasks bear.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { POLICY, addJob, addVm, createState, createStep } from './cell-fixture.js';
import { placeTasks } from './place.js';
import { PlacementObstacle, findPlacementObstacle } from './placement-obstacle.js';

const FILL = createStep({ taskCount: 2, fills: true });

/** One VM with four cores, a serving task that holds some of them, and a filler job of which one task has a run. */
function findObstacle(servingMillicores: number, fillMillicores: number): PlacementObstacle {
  const state = createState();
  const vm = addVm(state);
  const resources = { processorMillicores: servingMillicores, memoryMegabytes: 0, accelerators: 0 };
  const serving = createStep({ longRunning: true, latencyTargetMs: 50, resources });
  addJob(state, { id: 'serving', steps: [serving] });
  placeTasks(state, 0);
  vm.pressureAllowance = 10;
  const fillResources = { ...FILL.resources, processorMillicores: fillMillicores };
  addJob(state, { id: 'fill', steps: [{ ...FILL, resources: fillResources }] });
  placeTasks(state, 0);
  vm.pressureAllowance = 0;
  const task = [...(state.jobs.get('fill')?.occurrences.get(0)?.steps[0]?.tasks ?? [])].pop();
  assert.ok(task !== undefined);
  return findPlacementObstacle(state, task, 0);
}

test('names the processor time where filler tasks find none unused', () => {
  assert.equal(findObstacle(4_000, 1_500), PlacementObstacle.FillerProcessor);
});

test('names the pressure where processor time is unused but serving tasks bear no more', () => {
  assert.equal(findObstacle(1_000, 1_000), PlacementObstacle.FillerPressure);
});

test('names the ticket where a task would fit on a VM', () => {
  const state = createState();
  addVm(state);
  const policy = { ...POLICY, advice: { decideMs: 1, eachVmMs: 1, validMs: 1_000 } };
  const [step] = addJob(state, { steps: [createStep()], policy }).occurrences.get(0)?.steps ?? [];
  const [task] = step?.tasks ?? [];
  assert.ok(task !== undefined);
  assert.equal(findPlacementObstacle(state, task, 0), PlacementObstacle.Ticket);
});
