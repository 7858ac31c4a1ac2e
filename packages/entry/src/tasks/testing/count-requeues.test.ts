/**
 * Counts in the changes of rows that a fixture saw. It holds no tests itself.
 */
import { TaskState } from '@figjunction/types';
import type { TaskFixture } from './task-fixture.test.js';

/** How often a run went from running back to pending. */
export function requeues(fixture: TaskFixture, taskId: string): number {
  return fixture.changes.filter(
    ({ before, after }) =>
      after.taskId === taskId &&
      before?.state === TaskState.Running &&
      after.state === TaskState.Pending,
  ).length;
}
