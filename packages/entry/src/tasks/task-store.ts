/**
 * Conditional writes of task rows. A row with a write in progress is busy: no other system of this entry
 * changes it until the outcome is known.
 */
import type { Metrics } from '@figjunction/telemetry';
import type { Clock, Instant } from '@figjunction/time';
import type { TableService } from '@figjunction/store';
import { deadlineAfter } from '@figjunction/time';
import { ABSENT_VERSION } from '@figjunction/types';
import type { TableCheck, TaskRow, VersionedRow } from '@figjunction/types';
import { assertLegalTransition } from './task-transitions.js';
import type { TaskEntry, TaskTable } from './task-table.js';

/** Writes of one kind share transactions, so many writes of one kind do not delay the others. */
export enum TaskWriteKind {
  Submission = 'submission',
  Claim = 'claim',
  Report = 'report',
  Cancel = 'cancel',
  Recovery = 'recovery',
}

/** The part of `WriteBatcher` that task code uses. */
export interface RowWriter {
  submit(request: {
    key: string;
    expectedVersion: number;
    value: object | null;
    checks?: TableCheck[];
    deadline: Instant;
  }): Promise<{ applied: boolean; version: number; current: VersionedRow<unknown> | null }>;
}

export interface TaskWriteOptions {
  kind?: TaskWriteKind;
  checks?: TableCheck[];
  timeoutMs?: number;
}

export interface TaskWriteResult {
  applied: boolean;
  /** The row after the write, or the conflicting row when it was not applied; null when no row exists. */
  current: TaskEntry | null;
}

export interface TaskStoreOptions {
  table: TableService;
  writers: Record<TaskWriteKind, RowWriter>;
  rows: TaskTable;
  clock: Clock;
  metrics: Metrics;
}

const DEFAULT_WRITE_TIMEOUT_MS = 5_000;

export class TaskStore {
  private readonly busyKeys = new Set<string>();

  constructor(private readonly options: TaskStoreOptions) {}

  get rows(): TaskTable {
    return this.options.rows;
  }

  isBusy(key: string): boolean {
    return this.busyKeys.has(key);
  }

  /** Marks a row as busy for a procedure of several steps; returns false when it is busy already. */
  tryMarkBusy(key: string): boolean {
    if (this.busyKeys.has(key)) {
      return false;
    }
    this.busyKeys.add(key);
    return true;
  }

  clearBusy(key: string): void {
    this.busyKeys.delete(key);
  }

  /** Replaces a row that still has the version of `before`; inserts a new row when `before` is null. */
  async write(
    key: string,
    before: TaskEntry | null,
    value: TaskRow,
    options: TaskWriteOptions = {},
  ): Promise<TaskWriteResult> {
    assertLegalTransition(before?.value ?? null, value);
    const expectedVersion = before?.version ?? ABSENT_VERSION;
    return this.submit(key, expectedVersion, value, options);
  }

  /** Deletes a row that still has the given version. */
  async remove(
    key: string,
    version: number,
    options: TaskWriteOptions = {},
  ): Promise<TaskWriteResult> {
    return this.submit(key, version, null, options);
  }

  /** Reads a row from the table. */
  async refresh(key: string): Promise<TaskEntry | null> {
    const [entry] = await this.refreshAll([key]);
    return entry ?? null;
  }

  /** Reads rows from the table, in order. */
  async refreshAll(keys: string[]): Promise<(TaskEntry | null)[]> {
    if (keys.length === 0) {
      return [];
    }
    const versionsBefore = keys.map((key) => this.rows.get(key)?.version ?? ABSENT_VERSION);
    const entries = await this.options.table.read<TaskRow>(keys);
    entries.forEach((entry, index) => {
      this.updateCache(keys[index] ?? '', entry, versionsBefore[index] ?? ABSENT_VERSION);
    });
    return entries;
  }

  private async submit(
    key: string,
    expectedVersion: number,
    value: TaskRow | null,
    options: TaskWriteOptions,
  ): Promise<TaskWriteResult> {
    const {
      kind = TaskWriteKind.Recovery,
      checks = [],
      timeoutMs = DEFAULT_WRITE_TIMEOUT_MS,
    } = options;
    const { writers, clock, metrics } = this.options;
    const ownsKey = this.tryMarkBusy(key);
    try {
      const outcome = await writers[kind].submit({
        key,
        expectedVersion,
        value,
        checks,
        deadline: deadlineAfter(clock, timeoutMs),
      });
      metrics.count('task_writes_total', { kind, applied: String(outcome.applied) });
      // A later write may already have replaced an applied one, so the current row is cached.
      const current = outcome.current as TaskEntry | null;
      this.updateCache(key, current, Math.max(expectedVersion, outcome.version));
      return { applied: outcome.applied, current };
    } finally {
      if (ownsKey) {
        this.clearBusy(key);
      }
    }
  }

  private updateCache(key: string, entry: TaskEntry | null, versionBefore: number): void {
    if (entry === null) {
      this.rows.remove(key, versionBefore);
    } else {
      this.rows.observe(entry);
    }
  }
}
