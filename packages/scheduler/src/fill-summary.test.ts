/**
 * Guards against a log that does not tell whether serving tasks miss their target because of filler tasks.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RunPhase } from '@figjunction/scheduling';
import type { CellState } from '@figjunction/scheduling';
import { addJob, addVm, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { summarizeFillers } from './fill-summary.js';

const TARGET_MS = 50;

/** Adds a VM with a serving task and two filler tasks, which were measured as given. */
function addMeasuredVm(
  state: CellState,
  id: string,
  latencyMs: number,
  fillMillicores: number[],
): void {
  const vm = addVm(state, id);
  const serving = createStep({ longRunning: true, latencyTargetMs: TARGET_MS });
  const fill = createStep({ fills: true, taskCount: fillMillicores.length });
  const [occurrence] = addJob(state, { id, steps: [serving, fill] }).occurrences.values();
  const tasks = occurrence?.steps.flatMap((step) => step.tasks) ?? [];
  [latencyMs, ...fillMillicores].forEach((measurement, index) => {
    const task = tasks[index];
    assert.ok(task !== undefined);
    const run = state.addRun({ task, vm, run: 1, phase: RunPhase.Running, now: 0 });
    run.measurement = measurement;
  });
  vm.listedAt = 1_000;
}

test('tells VMs over their target with standing filler tasks from those with working ones', () => {
  const state = createState();
  addMeasuredVm(state, 'vm-1', TARGET_MS * 1.1, [0, 0]);
  addMeasuredVm(state, 'vm-2', TARGET_MS * 1.1, [0, 800]);
  addMeasuredVm(state, 'vm-3', TARGET_MS * 0.9, [0, 900]);
  assert.deepEqual(summarizeFillers(state), {
    fillUseMillicores: 1_700,
    standingFillers: 4,
    vmsOverTarget: 2,
    vmsOverTargetWithStandingFillers: 1,
  });
});
