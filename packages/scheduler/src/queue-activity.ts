/**
 * Counts the starts and ends of runs by queue between two summaries of the cell.
 */
import type { RunRecord, TaskEnd } from '@figjunction/scheduling';
import type { Instant } from '@figjunction/time';
import { RunEnding } from '@figjunction/types';

export interface QueueActivityCounts {
  starts: number;
  /** Sum of the times that the started tasks waited, in milliseconds. */
  waitedMs: number;
  /** Ends `done` of runs that the scheduler started. */
  ends: number;
  /** Sum of the run times of these ends, and of their estimates, in milliseconds. */
  tookMs: number;
  estimateMs: number;
  stops: number;
}

export class QueueActivity {
  private readonly countsByQueue = new Map<string, QueueActivityCounts>();

  recordStart({ task }: RunRecord, now: Instant): void {
    const counts = this.countsOf(task.step.occurrence.job.policy.name);
    counts.starts += 1;
    counts.waitedMs += Math.max(0, now - task.waitingSince);
  }

  recordStop({ task }: RunRecord): void {
    this.countsOf(task.step.occurrence.job.policy.name).stops += 1;
  }

  recordEnd({ task, record, ending }: TaskEnd, now: Instant): void {
    if (record === null || ending !== RunEnding.Done) {
      return;
    }
    const counts = this.countsOf(task.step.occurrence.job.policy.name);
    counts.ends += 1;
    counts.tookMs += now - record.runningSince;
    counts.estimateMs += task.step.specification.estimateMs;
  }

  /** Returns the counts since the last call, by queue. */
  take(): Map<string, QueueActivityCounts> {
    const counts = new Map(this.countsByQueue);
    this.countsByQueue.clear();
    return counts;
  }

  private countsOf(queue: string): QueueActivityCounts {
    let counts = this.countsByQueue.get(queue);
    if (counts === undefined) {
      counts = { starts: 0, waitedMs: 0, ends: 0, tookMs: 0, estimateMs: 0, stops: 0 };
      this.countsByQueue.set(queue, counts);
    }
    return counts;
  }
}
