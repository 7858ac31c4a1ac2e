/**
 * The latest decisions of a process, for `explain`. Bounded: the oldest records make room.
 */
import type { DecisionRecord, ExplainSubject } from '@figjunction/types';

const DEFAULT_CAPACITY = 4_096;

export interface DecisionLogOptions {
  capacity?: number;
}

export class DecisionLog {
  private readonly records: DecisionRecord[] = [];

  private readonly capacity: number;

  private next = 0;

  constructor(options: DecisionLogOptions = {}) {
    this.capacity = options.capacity ?? DEFAULT_CAPACITY;
  }

  add(record: DecisionRecord): void {
    this.records[this.next] = record;
    this.next = (this.next + 1) % this.capacity;
  }

  /** Records about a subject, oldest first. */
  find(subject: ExplainSubject, subjectId: string): DecisionRecord[] {
    return this.records
      .filter((record) => record.subject === subject && record.subjectId === subjectId)
      .sort((left, right) => left.decidedAt.localeCompare(right.decidedAt));
  }
}
