/**
 * Records every committed change of a task row and checks it at the commit. It holds no tests itself.
 */
import type { FakePlatform, MemoryTable } from '@figjunction/test-support';
import { TASK_PREFIX } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { isLegalTransition } from '../task-transitions.js';

export class TransitionLog {
  /** Changes of rows that no legal transition allows. */
  readonly illegal: string[] = [];

  /** Every committed change of a task row, in order. */
  readonly changes: { before: TaskRow | null; after: TaskRow }[] = [];

  constructor(platform: FakePlatform) {
    const { table } = platform as unknown as { table: MemoryTable };
    const transact = table.transact.bind(table);
    table.transact = (transaction) => {
      const before = table.read(transaction.writes.map(({ key }) => key));
      const result = transact(transaction);
      if (result.committed) {
        transaction.writes.forEach(({ key, value }, index) => {
          if (key.startsWith(TASK_PREFIX) && value !== null) {
            this.recordChange(before[index]?.value as TaskRow | undefined, value as TaskRow);
          }
        });
      }
      return result;
    };
  }

  private recordChange(before: TaskRow | undefined, after: TaskRow): void {
    this.changes.push({ before: before ?? null, after });
    if (!isLegalTransition(before ?? null, after)) {
      this.illegal.push(`${after.taskId}: ${before?.state} to ${after.state}`);
    }
  }
}
