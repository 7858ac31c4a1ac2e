/**
 * Guards against kinds whose size is never learnt because their tasks end before a measurement arrives.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { TaskType } from '@figjunction/types';
import { TaskPhase, TaskTable } from './task-table.js';
import type { TaskEntry } from './task-table.js';

function addTask(table: TaskTable, phase: TaskPhase, measurableFrom: number): TaskEntry {
  return table.add({
    taskId: 'run-1',
    attempt: 1,
    type: TaskType.Batch,
    kind: 'reprint',
    declared: { processorMillicores: 100, memoryMegabytes: 64, accelerators: 0 },
    phase,
    measurableFrom,
  });
}

describe('TaskTable.findRunningAt', () => {
  const cases = [
    { name: 'a running task', phase: TaskPhase.Running, removed: false, at: 15, found: true },
    { name: 'an ended task', phase: TaskPhase.Ended, removed: true, at: 15, found: true },
    { name: 'a time before the start', phase: TaskPhase.Ended, removed: true, at: 5, found: false },
    {
      name: 'a dropped reservation',
      phase: TaskPhase.Reserved,
      removed: true,
      at: 15,
      found: false,
    },
  ];
  for (const { name, phase, removed, at, found } of cases) {
    it(`${found ? 'finds' : 'does not find'} ${name}`, () => {
      const table = new TaskTable();
      const entry = addTask(table, phase, 10);
      if (removed) {
        table.remove(entry);
      }
      assert.equal(table.findRunningAt('run-1', at) === entry, found);
    });
  }

  it('finds the earlier attempt when a later one has been reserved since', () => {
    const table = new TaskTable();
    const earlier = addTask(table, TaskPhase.Ended, 10);
    table.remove(earlier);
    addTask(table, TaskPhase.Reserved, Number.NEGATIVE_INFINITY);
    assert.equal(table.findRunningAt('run-1', 15), earlier);
  });
});
