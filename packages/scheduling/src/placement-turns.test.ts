/**
 * Guards against steps that no placement looks at because many others, which fit on no VM, rank before them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StepSpecification } from '@figjunction/types';
import { LESS_URGENT_POLICY, addJob, addVm, createState, createStep } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { placeTasks } from './place.js';

const STUCK_COUNT = 1_000;
const PASSES_MAXIMUM = 10;

/** Adds jobs that can't start, and one that ranks behind them and can. */
function createCrowdedCell(stuck: Partial<StepSpecification>): CellState {
  const state = createState();
  addVm(state);
  for (let index = 0; index < STUCK_COUNT; index += 1) {
    addJob(state, { id: `stuck-${index}`, steps: [createStep(stuck)] });
  }
  addJob(state, { id: 'runnable', steps: [createStep()], policy: LESS_URGENT_POLICY });
  return state;
}

/** The number of passes until the job starts; infinite if it does not. */
function countPasses(state: CellState): number {
  for (let pass = 1; pass <= PASSES_MAXIMUM; pass += 1) {
    if (placeTasks(state, pass).started.length > 0) {
      return pass;
    }
  }
  return Number.POSITIVE_INFINITY;
}

test('looks at a step in its first pass although 1000 others need a label that no VM has', () => {
  assert.equal(countPasses(createCrowdedCell({ requiredLabel: 'b' })), 1);
});

test('looks at each step within a few passes although 1000 gangs find no room', () => {
  const passes = countPasses(createCrowdedCell({ gang: true, taskCount: 5 }));
  assert.ok(passes <= 8, `after ${passes} passes`);
});

test('looks at each step within a few passes although 1000 long-running ones find no VM', () => {
  const passes = countPasses(createCrowdedCell({ longRunning: true, requiredLabel: 'b' }));
  assert.ok(passes <= 8, `after ${passes} passes`);
});
