/**
 * Guards against ticks that take longer the more tasks wait, because the runs of all VMs are searched for each of
 * them. On a large cell such ticks leave free room unused for most of the time.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpecification } from '@figjunction/types';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import { preemptBatchRuns } from './preempt.js';
import { RunPhase } from './records.js';
import type { RunRecord } from './records.js';
import { relocateSlowRuns } from './relocate.js';

const VM_COUNT = 20;
const RUNS_PER_VM = 9;
const WAITING_STEPS = 10;
const CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 64_000, accelerators: 0 };
const NOW = 10_000;

/** The runs of a VM, which count how many of them are looked at. */
class CountingRuns extends Map<string, RunRecord> {
  constructor(private readonly looks: { runs: number }) {
    super();
  }

  override values(): MapIterator<RunRecord> {
    this.looks.runs += this.size;
    return super.values();
  }
}

interface Cell {
  state: CellState;
  /** Number of runs that were looked at since the cell was built. */
  countLooks: () => number;
}

/** A cell with serving tasks and fillers on each VM, which hold nearly all processor capacity. */
function createBusyCell(waiting: Partial<StepSpecification>): Cell {
  const looks = { runs: 0 };
  const state = createState();
  for (let index = 0; index < VM_COUNT; index += 1) {
    const vm = addVm(state, `vm-${index}`, { capacity: CAPACITY });
    vm.runs = new CountingRuns(looks);
  }
  const size = (processorMillicores: number, memoryMegabytes: number) => ({
    resources: { processorMillicores, memoryMegabytes, accelerators: 0 },
  });
  const serving = { ...size(3_800, 3_000), longRunning: true, latencyTargetMs: 50 };
  const fillers = { ...size(600, 10_000), fills: true, checkpoints: true };
  addJob(state, { id: '0', steps: [createStep({ ...serving, taskCount: 4 * VM_COUNT })] });
  addJob(state, { id: '1', steps: [createStep({ ...fillers, taskCount: 5 * VM_COUNT })] });
  placeTasks(state, 0);
  for (const vm of state.vms.values()) {
    assert.equal(vm.runs.size, RUNS_PER_VM);
    vm.runs.forEach((run) => {
      run.phase = RunPhase.Running;
    });
  }
  for (let index = 0; index < WAITING_STEPS; index += 1) {
    addJob(state, { id: `a${index}`, steps: [createStep(waiting)] });
  }
  looks.runs = 0;
  return { state, countLooks: () => looks.runs };
}

function countLooksOfPlacement(waiting: Partial<StepSpecification>): number {
  const { state, countLooks } = createBusyCell(waiting);
  placeTasks(state, NOW);
  return countLooks();
}

const FILLERS = {
  resources: { processorMillicores: 900, memoryMegabytes: 1_000, accelerators: 0 },
  fills: true,
};

test('looks at the runs of a VM no more often when more filler tasks wait', () => {
  const few = countLooksOfPlacement({ ...FILLERS, taskCount: 1 });
  const many = countLooksOfPlacement({ ...FILLERS, taskCount: 200 });
  const started = 2 * RUNS_PER_VM * VM_COUNT * WAITING_STEPS;
  assert.ok(many <= few + started, `${many} runs for many tasks, ${few} for few`);
});

test('looks at the runs of a VM once for each long-running step that waits', () => {
  const waiting = {
    resources: { processorMillicores: 9_000, memoryMegabytes: 1_000, accelerators: 0 },
    longRunning: true,
    taskCount: 50,
  };
  const { state, countLooks } = createBusyCell(waiting);
  const { unplaced } = placeTasks(state, NOW);
  assert.equal(unplaced.length, WAITING_STEPS);
  const before = countLooks();
  preemptBatchRuns(state, unplaced, NOW);
  assert.ok(countLooks() - before <= WAITING_STEPS * VM_COUNT * RUNS_PER_VM);
});

test('looks at the runs of a VM a bounded number of times when many fillers are slow', () => {
  const { state, countLooks } = createBusyCell(FILLERS);
  for (const vm of state.vms.values()) {
    vm.runs.forEach((run) => {
      run.runningSince = 0;
      run.measurement = 10;
    });
    vm.pressureAllowance = 0;
  }
  relocateSlowRuns(state, NOW);
  assert.ok(countLooks() <= 3 * VM_COUNT * RUNS_PER_VM, `${countLooks()} runs`);
});
