/**
 * Tests which changes of a task row are legal.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { TaskState, TaskType } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { isLegalTransition } from './task-transitions.js';

function row(state: TaskState, attempt: number, type = TaskType.Batch): TaskRow {
  return {
    writeId: '',
    taskId: 't',
    type,
    jobId: 'j',
    team: 'kitchen',
    kind: 'labels',
    urgency: 'overnight',
    declaredSize: { processorMillicores: 1, memoryMegabytes: 1, accelerators: 0 },
    state,
    attempt,
    holder: state === TaskState.Running ? { agentId: 'vm-1', incarnation: 1 } : null,
    checkpointKey: null,
    parameters: {},
    failures: 0,
    evictions: 0,
    failedOn: [],
    reason: null,
    lastDecision: null,
    submittedAtMs: 0,
    endedAtMs: null,
  };
}

const { Pending, Running, Held, Completed, Failed, Cancelled } = TaskState;

const cases: [string, TaskRow | null, TaskRow, boolean][] = [
  ['a new row is pending', null, row(Pending, 0), true],
  ['a new row is not running', null, row(Running, 1), false],
  ['a claim raises the attempt by one', row(Pending, 3), row(Running, 4), true],
  ['a claim with the old attempt', row(Pending, 3), row(Running, 3), false],
  ['a claim that skips an attempt', row(Pending, 3), row(Running, 5), false],
  ['a requeue keeps the attempt', row(Running, 4), row(Pending, 4), true],
  ['a requeue that raises the attempt', row(Running, 4), row(Pending, 5), false],
  ['a second claim without a requeue', row(Running, 4), row(Running, 5), false],
  [
    'a running run moves to another agent',
    row(Running, 4),
    { ...row(Running, 4), holder: { agentId: 'vm-2', incarnation: 1 } },
    false,
  ],
  [
    'a restarted agent adopts a run',
    row(Running, 4),
    { ...row(Running, 4), holder: { agentId: 'vm-1', incarnation: 2 } },
    true,
  ],
  ['a run completes', row(Running, 4), row(Completed, 4), true],
  ['a pending run does not complete', row(Pending, 4), row(Completed, 4), false],
  ['a completed run does not run again', row(Completed, 4), row(Pending, 4), false],
  ['a cancelled run does not run again', row(Cancelled, 4), row(Pending, 4), false],
  ['a failed run does not run again', row(Failed, 4), row(Pending, 4), false],
  ['a pending run is held', row(Pending, 4), row(Held, 4), true],
  ['a running run is not held', row(Running, 4), row(Held, 4), false],
  ['a held run does not start', row(Held, 4), row(Running, 5), false],
  ['a held run is released', row(Held, 4), row(Pending, 4), true],
  [
    'a pending row with a holder',
    null,
    { ...row(Pending, 0), holder: row(Running, 0).holder },
    false,
  ],
  ['a running row without a holder', row(Pending, 0), { ...row(Running, 1), holder: null }, false],
  [
    'a cancelled instance is revived with its attempt',
    row(Cancelled, 4, TaskType.Instance),
    row(Pending, 4, TaskType.Instance),
    true,
  ],
  [
    'a cancelled instance is revived with a new attempt',
    row(Cancelled, 4, TaskType.Instance),
    row(Pending, 0, TaskType.Instance),
    false,
  ],
];

for (const [name, before, after, legal] of cases) {
  test(`${legal ? 'legal' : 'illegal'}: ${name}`, () => {
    assert.equal(isLegalTransition(before, after), legal);
  });
}
