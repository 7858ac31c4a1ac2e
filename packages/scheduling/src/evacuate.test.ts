/**
 * Guards against losing work on a draining VM, and against stopping runs that would finish before the VM
 * leaves.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { VmState } from '@figjunction/types';
import type { StepSpecification } from '@figjunction/types';
import {
  addJob,
  addVm,
  createAnnouncement,
  createState,
  createStep,
  sendReport,
} from './cell-fixture.js';
import { evacuateDrainingVms } from './evacuate.js';
import { placeTasks } from './place.js';
import { RunPhase } from './records.js';

const cases: { name: string; step: Partial<StepSpecification>; moves: boolean }[] = [
  { name: 'a long-running task', step: { longRunning: true }, moves: true },
  {
    name: 'a long task with checkpoints',
    step: { checkpoints: true, estimateMs: 9_000 },
    moves: true,
  },
  {
    name: 'a short task with checkpoints',
    step: { checkpoints: true, estimateMs: 500 },
    moves: false,
  },
  { name: 'a task without checkpoints', step: { estimateMs: 9_000 }, moves: false },
];
for (const { name, step, moves } of cases) {
  test(`${moves ? 'evacuates' : 'does not evacuate'} ${name}`, () => {
    const state = createState();
    const vm = addVm(state);
    addJob(state, { steps: [createStep(step)] });
    const [run] = placeTasks(state, 0).started;
    (run ?? { phase: null }).phase = RunPhase.Running;
    assert.equal(evacuateDrainingVms(state, 0).length, 0);
    const leaving = { instanceId: 'instance-of-vm-1', state: VmState.Draining, remainingMs: 2_500 };
    sendReport(state, vm, { session: 1, vm: createAnnouncement(leaving), running: null });
    assert.equal(evacuateDrainingVms(state, 0).length, moves ? 1 : 0);
  });
}
