/**
 * Guards against a row of progress that is larger than the store accepts, for every job that a gateway accepts.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { deflateRawSync } from 'node:zlib';
import { encodeProgress, restoreProgress } from '@figjunction/scheduling';
import type { OccurrenceRecord } from '@figjunction/scheduling';
import { addJob, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { RandomSource } from '@figjunction/time';
import { fitProgressRow } from './progress-packing.js';
import { progressRowSchema } from './row-schemas.js';

const NO_VMS = new Map<string, unknown>();

interface Shape {
  taskCounts: number[];
  /** Number of the failed runs of each task. */
  failures: number;
  /** Run numbers grow with each take-over. */
  firstRun: number;
  longRunning?: boolean;
}

function createOccurrenceOf({ taskCounts, failures, firstRun, longRunning = false }: Shape) {
  const steps = taskCounts.map((taskCount) => createStep({ taskCount, longRunning }));
  const job = addJob(createState(), { steps });
  const occurrence = job.occurrences.get(0) as OccurrenceRecord;
  const random = new RandomSource(7);
  for (const step of occurrence.steps) {
    for (const task of step.tasks) {
      task.done = random.below(2) === 0;
      task.failedRuns = Array.from(
        { length: failures },
        (_, run) => firstRun + 3 * run + random.below(3),
      );
    }
  }
  return occurrence;
}

/** Stores the occurrence in a row of at most this size and returns what a successor restores from it. */
function storeAndRestore(occurrence: OccurrenceRecord, rowBytes: number): OccurrenceRecord {
  const row = fitProgressRow(encodeProgress(occurrence, NO_VMS), rowBytes);
  const stored = Buffer.from(JSON.stringify(row)).toString('base64');
  assert.ok(stored.length <= rowBytes, `a row of ${stored.length} bytes`);
  const value: unknown = JSON.parse(Buffer.from(stored, 'base64').toString());
  const { success, data } = progressRowSchema.safeParse(value);
  assert.ok(success);
  const { steps } = occurrence.job.specification;
  const copy = addJob(createState(), { steps }).occurrences.get(0) as OccurrenceRecord;
  restoreProgress(copy, data);
  return copy;
}

function doneTasksOf({ steps }: OccurrenceRecord): string[] {
  return steps.flatMap(({ tasks }) => tasks.filter(({ done }) => done).map(({ id }) => id));
}

function countFailures({ steps }: OccurrenceRecord): number[] {
  return steps.flatMap(({ tasks }) => tasks.map(({ failedRuns }) => failedRuns.length));
}

const shapes: Shape[] = [1, 400, 2_200, 10_000].flatMap((taskCount) =>
  [1, 2, 9].flatMap((failures) =>
    [1, 4_001, 1_000_001].map((firstRun) => ({ taskCounts: [taskCount], failures, firstRun })),
  ),
);
shapes.push({ taskCounts: [10_000, 10_000], failures: 1, firstRun: 5_001 });
shapes.push({ taskCounts: Array<number>(100).fill(200), failures: 2, firstRun: 5_001 });

for (const shape of shapes) {
  const { taskCounts, failures, firstRun } = shape;
  const tasks = taskCounts.reduce((sum, count) => sum + count, 0);
  test(`stores ${tasks} tasks in ${taskCounts.length} steps, ${failures} failures each from run ${firstRun} on`, () => {
    const occurrence = createOccurrenceOf(shape);
    const restored = storeAndRestore(occurrence, 65_536);
    assert.deepEqual(doneTasksOf(restored), doneTasksOf(occurrence));
    assert.deepEqual(countFailures(restored), countFailures(occurrence));
  });
}

for (const rowBytes of [4_096, 16_384]) {
  test(`forgets failures before it forgets which tasks are done, in ${rowBytes} bytes`, () => {
    const occurrence = createOccurrenceOf({ taskCounts: [10_000], failures: 9, firstRun: 5_001 });
    const restored = storeAndRestore(occurrence, rowBytes);
    assert.deepEqual(doneTasksOf(restored), doneTasksOf(occurrence));
  });
}

test('stores no failures of long-running tasks', () => {
  const shape = { taskCounts: [2_200], failures: 10, firstRun: 1, longRunning: true };
  const row = encodeProgress(createOccurrenceOf(shape), NO_VMS);
  assert.deepEqual(row.failures, {});
});

test('leaves a small row as it is', () => {
  const row = encodeProgress(
    createOccurrenceOf({ taskCounts: [3], failures: 1, firstRun: 1 }),
    NO_VMS,
  );
  assert.equal(fitProgressRow(row, 65_536), row);
});

test('remembers the numbers of the last failed runs, whose ends may be reported again', () => {
  const occurrence = createOccurrenceOf({ taskCounts: [10_000], failures: 9, firstRun: 5_001 });
  const restored = storeAndRestore(occurrence, 65_536);
  const lastRuns = (from: OccurrenceRecord) => from.steps[0]?.tasks[42]?.failedRuns.slice(-2);
  assert.deepEqual(lastRuns(restored), lastRuns(occurrence));
});

const damaged: [string, unknown][] = [
  ['of another type', 5],
  ['that is no base64', '%%%'],
  ['that is not compressed', Buffer.from('{"done":["1"]}').toString('base64')],
  ['without its fields', deflateRawSync('{}').toString('base64')],
];
for (const [name, packed] of damaged) {
  test(`rejects a packed row with content ${name}`, () => {
    const row = { state: 'queued', done: [], failures: {}, runners: [], packed };
    assert.equal(progressRowSchema.safeParse(row).success, false);
  });
}
