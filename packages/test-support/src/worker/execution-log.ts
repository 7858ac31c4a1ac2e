/**
 * The fake worker's own record of what executed. Proofs read it instead of trusting the product.
 */
import type { Clock, Instant } from '@figjunction/time';

export enum ExecutionEvent {
  TaskStart = 'task-start',
  TaskSuspend = 'task-suspend',
  TaskResume = 'task-resume',
  TaskCheckpoint = 'task-checkpoint',
  TaskThrottle = 'task-throttle',
  TaskComplete = 'task-complete',
  TaskFail = 'task-fail',
  TaskStop = 'task-stop',
  RequestBegin = 'request-begin',
  RequestEnd = 'request-end',
  /** The true use of processors or memory rose over the capacity of the VM. */
  OverCapacity = 'over-capacity',
}

export interface ExecutionRecord {
  index: number;
  /** On the host's monotonic clock, which all fakes on one machine share. */
  atHostMs: Instant;
  workerId: string;
  event: ExecutionEvent;
  taskId: string;
  attempt: number;
  incarnation: number;
  kind: string;
  /** Progress of a batch task, 0 to 1. */
  progress?: number;
  /** `x-test-id` of a request, or the SHA-256 of its body. */
  requestKey?: string;
  detail?: string;
}

export type ExecutionFacts = Omit<ExecutionRecord, 'index' | 'atHostMs' | 'workerId'>;

export interface ExecutionLogPage {
  records: ExecutionRecord[];
  /** Value of `after` for the next page. */
  next: number;
  /** Records that no longer fit and were dropped from the front. */
  dropped: number;
}

const RECORDS_MAXIMUM = 500_000;
const PAGE_MAXIMUM = 20_000;

export class ExecutionLog {
  private records: ExecutionRecord[] = [];

  private dropped = 0;

  constructor(
    private readonly workerId: string,
    private readonly clock: Clock,
  ) {}

  add(facts: ExecutionFacts): void {
    if (this.records.length >= RECORDS_MAXIMUM) {
      this.records = this.records.slice(RECORDS_MAXIMUM / 2);
      this.dropped += RECORDS_MAXIMUM / 2;
    }
    this.records.push({
      index: this.dropped + this.records.length,
      atHostMs: this.clock.now(),
      workerId: this.workerId,
      ...facts,
    });
  }

  /** Records from an index on. */
  page(after: number): ExecutionLogPage {
    const start = Math.max(0, after - this.dropped);
    const records = this.records.slice(start, start + PAGE_MAXIMUM);
    return { records, next: this.dropped + start + records.length, dropped: this.dropped };
  }
}
