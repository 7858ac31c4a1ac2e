/**
 * Guards against slow filler runs that are stopped for a VM on which their tasks could not start.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { QueuePolicy } from '@figjunction/types';
import { recordAdvice } from './advice.js';
import { POLICY, addJob, addVm, createState, createStep, sendReport } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';
import { relocateSlowRuns } from './relocate.js';
import type { RunRecord, VmRecord } from './records.js';
import { keepForTrial } from './trials.js';

const LATER = 2_000;
const ADVICE = { decideMs: 1, eachVmMs: 1, validMs: 10_000 };

interface SlowRun {
  state: CellState;
  run: RunRecord;
  /** A VM on which the run would not be slow. */
  idleVm: VmRecord;
}

/** A filler run that gets no processor time beside a serving task, and an idle VM. */
function createSlowRun(policy: QueuePolicy): SlowRun {
  const state = createState();
  const vm = addVm(state, 'vm-1');
  const fill = createStep({ fills: true, image: 'menu', checkpoints: true });
  const [step] =
    addJob(state, { id: 'fill', steps: [fill], policy }).occurrences.get(0)?.steps ?? [];
  assert.ok(step !== undefined);
  const key = 'instance-of-vm-1@1000';
  const tickets = new Map([[key, 'ticket']]);
  const expiry = { ticketsExpireAt: 10_000, refusalsExpireAt: 0 };
  recordAdvice({ step, instanceKeys: [key], tickets, ...expiry });
  const [run] = placeTasks(state, 0).started;
  assert.ok(run !== undefined);
  const running = [{ taskId: run.task.id, run: run.run, checkpoint: '', percent: 1, reading: 0 }];
  sendReport(state, vm, { session: vm.session, running }, 0);
  vm.servingCount = 1;
  return { state, run, idleVm: addVm(state, 'vm-2') };
}

test('relocates a slow run to a VM without serving tasks', () => {
  const { state, run } = createSlowRun(POLICY);
  assert.deepEqual(relocateSlowRuns(state, LATER), [run]);
});

test('stops no slow run for a VM for which its task has no ticket', () => {
  const { state } = createSlowRun({ ...POLICY, advice: ADVICE });
  assert.deepEqual(relocateSlowRuns(state, LATER), []);
});

test('stops no slow run for a VM that is kept for the trial of another task', () => {
  const { state, idleVm } = createSlowRun(POLICY);
  const other = addJob(state, { id: 'other', steps: [createStep()] }).occurrences.get(0)?.steps[0];
  assert.ok(other?.tasks[0] !== undefined);
  keepForTrial(idleVm, other.tasks[0], LATER);
  assert.deepEqual(relocateSlowRuns(state, LATER), []);
});
