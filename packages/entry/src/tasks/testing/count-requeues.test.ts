/**
 * Counts requeues in the row changes that a fixture recorded. It holds no tests itself.
 */
import { TaskState } from '@figjunction/types';
import type { TaskFixture } from './task-fixture.test.js';

/** Number of times a run changed from running to pending. */
export function countRequeues(fixture: TaskFixture, taskId: string): number {
  return fixture.changes.filter(
    ({ before, after }) =>
      after.taskId === taskId &&
      before?.state === TaskState.Running &&
      after.state === TaskState.Pending,
  ).length;
}
