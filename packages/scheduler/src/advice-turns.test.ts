/**
 * Guards against a step that gets no call of the adviser because placement searched VMs for it while no call could be
 * made.
 */
import assert from 'node:assert/strict';
import { beforeEach, test } from 'node:test';
import { CellState } from '@figjunction/scheduling';
import type { StepRecord } from '@figjunction/scheduling';
import { POLICY, addJob, addVm, createStep } from '@figjunction/scheduling/cell-fixture';
import { AdviceTurns } from './advice-turns.js';

const QUEUE = { ...POLICY, advice: { decideMs: 100, eachVmMs: 10, validMs: 3_000 } };
const NONE = new Set<StepRecord>();

let state: CellState;
let turns: AdviceTurns;

beforeEach(() => {
  state = new CellState();
  addVm(state, 'vm-1');
  turns = new AdviceTurns(state);
});

function addStep(id: string, policy = QUEUE): StepRecord {
  const [step] =
    addJob(state, { id, steps: [createStep()], policy }).occurrences.get(0)?.steps ?? [];
  assert.ok(step !== undefined);
  return step;
}

/** Takes the next turn and records the call about its step. Returns the step's job. */
function call(now: number): string | null {
  const step = turns.takeNext(NONE, now)?.step ?? null;
  if (step !== null) {
    step.advice.calls += 1;
    step.advice.calledAt = now;
  }
  return step?.occurrence.job.id ?? null;
}

test('keeps the turn of a step that was searched for in an earlier pass', () => {
  const [first, second] = [addStep('first'), addStep('second')];
  turns.update([first], 0);
  turns.update([second], 1);
  turns.update([], 2);
  assert.deepEqual([call(2), call(3)].sort(), ['first', 'second']);
});

test('lets each step of a crowded queue have a call', () => {
  const steps = Array.from({ length: 20 }, (_, index) => addStep(`job-${index}`));
  turns.update(steps, 0);
  const called = Array.from({ length: 40 }, (_, index) => call(index));
  assert.equal(new Set(called).size, 20);
});

test('gives a queue each second call beside one with many new steps', () => {
  const crowded = { ...QUEUE, name: 'crowded', priority: 0 };
  turns.update([addStep('other')], 0);
  const called = Array.from({ length: 20 }, (_, index) => {
    turns.update([addStep(`crowded-${index}`, crowded)], index);
    return call(index);
  });
  assert.ok(called.filter((jobId) => jobId === 'other').length >= 8);
});

test('calls for a step without room only while no other could start', () => {
  const large = { processorMillicores: 5_000, memoryMegabytes: 10, accelerators: 0 };
  const steps = [createStep({ resources: large })];
  const [without] =
    addJob(state, { id: 'large', steps, policy: QUEUE }).occurrences.get(0)?.steps ?? [];
  assert.ok(without !== undefined);
  turns.update([without], 0);
  assert.equal(call(0), 'large');
  turns.update([without, addStep('small')], 1);
  assert.deepEqual([call(1), call(2)], ['small', 'small']);
});

test('forgets a step without waiting tasks', () => {
  const step = addStep('job');
  turns.update([step], 0);
  step.waiting.clear();
  assert.equal(call(1), null);
});
