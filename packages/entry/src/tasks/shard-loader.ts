/**
 * Loads the shards that this entry owns, rescans them at a jittered interval and soon after a notification,
 * and drops those that another entry owns now. Scans run asynchronously, outside the tick loop.
 */
import type { Clock, Instant, RandomSource } from '@figjunction/time';
import type { TableService } from '@figjunction/store';
import { SCAN_ROWS_MAXIMUM, SHARD_COUNT, shardPrefix } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import type { TaskEntry, TaskTable } from './task-table.js';

export interface ShardLoaderOptions {
  table: TableService;
  rows: TaskTable;
  clock: Clock;
  random: RandomSource;
  ownsShard: (shard: number) => boolean;
  scansAtOnceMaximum?: number;
  rescanMs?: number;
  onLoaded?: (shard: number) => void;
}

const DEFAULT_SCANS_AT_ONCE_MAXIMUM = 4;
const DEFAULT_RESCAN_MS = 60_000;
const RETRY_MS = 1_000;
/** Minimum time between scans of a notified shard, per page of rows; bounds the reads when many jobs arrive. */
const NOTIFIED_RESCAN_MS_PER_PAGE = 200;

interface ShardSchedule {
  nextScan: Instant;
  lastScan: Instant;
  isScanning: boolean;
  /** A notification arrived while a scan was in progress. */
  isNotifiedDuringScan: boolean;
}

export class ShardLoader {
  private readonly schedules = new Map<number, ShardSchedule>();

  private scansInProgress = 0;

  constructor(private readonly options: ShardLoaderOptions) {}

  /** Whether this entry owns the shard and has read it. */
  isServed(shard: number): boolean {
    return this.options.ownsShard(shard) && this.options.rows.isLoaded(shard);
  }

  notify(shards: number[]): void {
    const now = this.options.clock.now();
    for (const shard of shards) {
      const schedule = this.schedules.get(shard);
      if (schedule !== undefined) {
        schedule.isNotifiedDuringScan = schedule.isScanning;
        const pages = 1 + this.options.rows.sizeOfShard(shard) / SCAN_ROWS_MAXIMUM;
        const earliest = schedule.lastScan + pages * NOTIFIED_RESCAN_MS_PER_PAGE;
        schedule.nextScan = Math.min(schedule.nextScan, Math.max(now, earliest));
      }
    }
  }

  /** Starts the scans that are due, without waiting for them. */
  run(now: Instant): void {
    this.updateOwnership(now);
    const { scansAtOnceMaximum = DEFAULT_SCANS_AT_ONCE_MAXIMUM } = this.options;
    const due = [...this.schedules]
      .filter(([, schedule]) => !schedule.isScanning && schedule.nextScan <= now)
      .sort(([, left], [, right]) => left.nextScan - right.nextScan);
    for (const [shard, schedule] of due) {
      if (this.scansInProgress >= scansAtOnceMaximum) {
        return;
      }
      this.scansInProgress += 1;
      schedule.isScanning = true;
      this.scan(shard, schedule).finally(() => {
        this.scansInProgress -= 1;
        schedule.isScanning = false;
      });
    }
  }

  private updateOwnership(now: Instant): void {
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const owned = this.options.ownsShard(shard);
      if (owned && !this.schedules.has(shard)) {
        this.schedules.set(shard, {
          nextScan: now,
          lastScan: Number.NEGATIVE_INFINITY,
          isScanning: false,
          isNotifiedDuringScan: false,
        });
      } else if (!owned && this.schedules.has(shard)) {
        this.schedules.delete(shard);
        this.options.rows.dropShard(shard);
      }
    }
  }

  private async scan(shard: number, schedule: ShardSchedule): Promise<void> {
    const { rows, clock, random, rescanMs = DEFAULT_RESCAN_MS } = this.options;
    const versionsBefore = rows.versionsOf(shard);
    schedule.isNotifiedDuringScan = false;
    schedule.lastScan = clock.now();
    try {
      const entries = await this.readShard(shard);
      if (this.schedules.get(shard) !== schedule) {
        return;
      }
      rows.replaceShard(shard, entries, versionsBefore);
      schedule.nextScan =
        clock.now() + (schedule.isNotifiedDuringScan ? 0 : random.jitter(rescanMs));
      this.options.onLoaded?.(shard);
    } catch {
      // The table cannot be read; the jitter keeps entries from retrying all at once.
      schedule.nextScan = clock.now() + random.jitter(RETRY_MS);
    }
  }

  private async readShard(shard: number): Promise<TaskEntry[]> {
    const entries: TaskEntry[] = [];
    let after: string | null = '';
    while (after !== null) {
      const page: { rows: TaskEntry[]; nextAfter: string | null } =
        await this.options.table.scan<TaskRow>({
          prefix: shardPrefix(shard),
          after,
          limit: SCAN_ROWS_MAXIMUM,
        });
      entries.push(...page.rows);
      after = page.nextAfter;
    }
    return entries;
  }
}
