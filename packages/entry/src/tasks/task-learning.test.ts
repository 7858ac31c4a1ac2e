/**
 * Guards against learning interference too slowly because agents do not send small changes of usage, and
 * against learning forever from a measurement that the agent does not repeat.
 */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { AgentState, TaskType } from '@figjunction/types';
import type { AgentReport, TaskUsage } from '@figjunction/types';
import type { PlacementTask, PlacementVm } from '@figjunction/decisions';
import { AgentDirectory } from '../agent-directory.js';
import type { EntryContext } from '../entry-context.js';
import { TaskLearning } from './task-learning.js';

const CAPACITY = { processorMillicores: 10_000, memoryMegabytes: 1, accelerators: 0 };
const SIZE = { processorMillicores: 2_000, memoryMegabytes: 0, accelerators: 0 };
const USAGE: TaskUsage[] = [
  { taskId: 'a', kind: 'labels', used: SIZE, slowdown: 2 },
  { taskId: 'b', kind: 'noisy', used: SIZE, slowdown: null },
];

it('learns from a measurement with each heartbeat, for as long as it is valid', () => {
  const agents = new AgentDirectory();
  const learning = new TaskLearning({ agents } as EntryContext);
  const expected: number[] = [];
  for (let second = 1; second <= 20; second += 1) {
    const report = { agentId: 'vm-1', incarnation: 1, sequence: second, usage: USAGE };
    const state = { ...report, capacity: CAPACITY, state: AgentState.Serving } as AgentReport;
    agents.accept(state, second * 1_000);
    learning.run();
    // A second run with the same heartbeat must not change the estimate.
    learning.run();
    const task = { type: TaskType.Batch, kind: 'noisy', size: SIZE } as PlacementTask;
    const vm = { agentId: 'vm-1', capacity: CAPACITY } as PlacementVm;
    expected.push(learning.predictAddedSlowdown(task, vm));
  }
  const rises = expected.slice(1).map((value, index) => value - (expected[index] ?? 0) > 0);
  assert.deepEqual(rises.indexOf(false), 9);
  assert.ok(rises.slice(9).every((rose) => !rose));
});
