/**
 * The runs on one life of the VM, as its answers and its lists tell.
 */
import type { Instant } from '@figjunction/time';
import type { EndedRun, RunAttributes, RunningTask, RunReference } from '@figjunction/types';

export interface RunEntry extends RunningTask {
  /** When its start was confirmed or it was first listed. */
  confirmedAt: Instant;
  attributes: RunAttributes | null;
  /** The pace that was last asked for. */
  pacePercent: number;
}

export interface ListChange {
  /** Ends that were not listed before. */
  ended: EndedRun[];
  /** Runs that have left without an end. */
  vanished: RunReference[];
}

const FULL_PACE = 100;

export class RunTable {
  readonly entries = new Map<string, RunEntry>();

  /** Listed ends that the scheduler has not settled yet. */
  unsettled: EndedRun[] = [];

  /** Ends up to this one came before the lease of the VM expired and do not count. */
  private voidThrough = 0;

  private lastEnd = 0;

  private readonly attributes = new Map<string, RunAttributes>();

  /** Keeps what a run is, for when it is listed. */
  describe(attributes: RunAttributes): void {
    const key = keyOf(attributes);
    this.attributes.set(key, attributes);
    const entry = this.entries.get(key);
    if (entry !== undefined) {
      entry.attributes = attributes;
    }
  }

  confirm({ taskId, run }: RunReference, now: Instant): void {
    if (!this.entries.has(keyOf({ taskId, run }))) {
      this.add({ taskId, run, checkpoint: '', percent: 0, reading: 0 }, now);
    }
  }

  /** Applies a list that the VM made after `askedAt`. */
  apply(running: RunningTask[], ended: EndedRun[], askedAt: Instant, now: Instant): ListChange {
    const listed = new Set(running.map(keyOf));
    running.forEach((task) => {
      const entry = this.entries.get(keyOf(task));
      if (entry === undefined) {
        this.add(task, now);
      } else {
        Object.assign(entry, task);
      }
    });
    const fresh = ended.filter(({ sequence }) => sequence > this.lastEnd);
    ended.forEach((end) => this.remove(keyOf(end)));
    this.lastEnd = Math.max(this.lastEnd, ...ended.map(({ sequence }) => sequence));
    this.unsettled = ended.filter(({ sequence }) => sequence > this.voidThrough);
    const vanished: RunReference[] = [];
    for (const [key, entry] of this.entries) {
      if (!listed.has(key) && entry.confirmedAt < askedAt) {
        this.remove(key);
        vanished.push({ taskId: entry.taskId, run: entry.run });
      }
    }
    return { ended: fresh, vanished };
  }

  /** Drops the ends up to a sequence. Returns their runs, which have to start again. */
  discardEnds(through: number): RunReference[] {
    const discarded = this.unsettled.filter(({ sequence }) => sequence <= through);
    this.voidThrough = Math.max(this.voidThrough, through);
    this.unsettled = this.unsettled.filter(({ sequence }) => sequence > through);
    return discarded.map(({ taskId, run }) => ({ taskId, run }));
  }

  /** True while the run is on the VM or its end is listed. */
  isListed(reference: RunReference): boolean {
    const key = keyOf(reference);
    return this.entries.has(key) || this.unsettled.some((end) => keyOf(end) === key);
  }

  list(): RunningTask[] {
    return [...this.entries.values()].map(({ taskId, run, checkpoint, percent, reading }) => ({
      taskId,
      run,
      checkpoint,
      percent,
      reading,
    }));
  }

  private add(task: RunningTask, now: Instant): void {
    const attributes = this.attributes.get(keyOf(task)) ?? null;
    const entry = { ...task, confirmedAt: now, attributes, pacePercent: FULL_PACE };
    this.entries.set(keyOf(task), entry);
  }

  private remove(key: string): void {
    this.entries.delete(key);
    this.attributes.delete(key);
  }
}

function keyOf({ taskId, run }: RunReference): string {
  return `${taskId}#${run}`;
}
