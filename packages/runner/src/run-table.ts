/**
 * Table of the runs of one VM incarnation, updated from start results and from the VM's lists. A run is one
 * execution of a task on the VM, identified by its task ID and run number.
 */
import type { Instant } from '@figjunction/time';
import type { EndedRun, RunAttributes, RunningTask, RunReference } from '@figjunction/types';
import { mayLeaveOutEnds } from './vm-host.js';
import type { HoldResult } from './vm-host.js';

export interface RunEntry extends RunningTask {
  /** When the start was confirmed or the run was first listed. */
  confirmedAt: Instant;
  attributes: RunAttributes | null;
  /** The last pace requested from the VM, as a percentage of full speed. */
  pacePercent: number;
}

export interface ListChanges {
  /** Ends that were not listed before. */
  ended: EndedRun[];
  /** Runs that are no longer listed and have no listed end. None while further ends may wait on the VM. */
  vanished: RunReference[];
  /** Runs that are listed for the first time and that nothing in this process has ordered. */
  unexpected: RunReference[];
}

const FULL_PACE_PERCENT = 100;

export class RunTable {
  readonly entries = new Map<string, RunEntry>();

  /** The ends in the VM's last list; the VM drops an end once the scheduler has acknowledged it. */
  unacknowledged: EndedRun[] = [];

  private lastEndSequence = 0;

  private hasListLeftOutEnds = false;

  private readonly attributes = new Map<string, RunAttributes>();

  /** True if the VM's last list may have left out ends. */
  get hasUnlistedEnds(): boolean {
    return this.hasListLeftOutEnds;
  }

  /** Stores the attributes of a run, which may not be listed yet. */
  setAttributes(attributes: RunAttributes): void {
    const key = keyOf(attributes);
    this.attributes.set(key, attributes);
    const entry = this.entries.get(key);
    if (entry !== undefined) {
      entry.attributes = attributes;
    }
  }

  confirmStart({ taskId, run }: RunReference, now: Instant): void {
    if (!this.entries.has(keyOf({ taskId, run }))) {
      this.add({ taskId, run, checkpoint: '', percent: 0, reading: 0 }, now);
    }
  }

  /** Applies a list that was requested at `requestedAt`. An unlisted run confirmed since then is kept. */
  apply(
    { running, ended }: Pick<HoldResult, 'running' | 'ended'>,
    requestedAt: Instant,
    now: Instant,
  ): ListChanges {
    const listed = new Set(running.map(keyOf));
    const unexpected: RunReference[] = [];
    running.forEach((task) => {
      const entry = this.entries.get(keyOf(task));
      if (entry === undefined) {
        const { taskId, run } = task;
        unexpected.push(...(this.attributes.has(keyOf(task)) ? [] : [{ taskId, run }]));
        this.add(task, now);
      } else {
        Object.assign(entry, task);
      }
    });
    const newEnds = ended.filter(({ sequence }) => sequence > this.lastEndSequence);
    ended.forEach((end) => this.remove(keyOf(end)));
    this.lastEndSequence = Math.max(this.lastEndSequence, ...ended.map(({ sequence }) => sequence));
    this.unacknowledged = ended;
    this.hasListLeftOutEnds = mayLeaveOutEnds(ended);
    const vanished: RunReference[] = [];
    for (const [key, entry] of this.entries) {
      if (!this.hasListLeftOutEnds && !listed.has(key) && entry.confirmedAt < requestedAt) {
        this.remove(key);
        vanished.push({ taskId: entry.taskId, run: entry.run });
      }
    }
    return { ended: newEnds, vanished, unexpected };
  }

  /** True if the run is on the VM, has a listed end, or may be among the ends that the VM has not listed. */
  isListed(reference: RunReference): boolean {
    const key = keyOf(reference);
    return (
      this.hasListLeftOutEnds ||
      this.entries.has(key) ||
      this.unacknowledged.some((end) => keyOf(end) === key)
    );
  }

  toRunningTasks(): RunningTask[] {
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
    const entry = { ...task, confirmedAt: now, attributes, pacePercent: FULL_PACE_PERCENT };
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
