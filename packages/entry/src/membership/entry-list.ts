/**
 * The list of live entries. Each entry rewrites its own row periodically. A reader drops an entry when,
 * within a timeout on the reader's own clock, its row did not change and no digest was exchanged with it.
 * While the table is unavailable, only digests count.
 */
import { ABSENT_VERSION, ENTRY_PREFIX, SCAN_ROWS_MAXIMUM, entryKey } from '@figjunction/types';
import type { EntryId, EntryRow, KnownEntry, VersionedRow } from '@figjunction/types';
import type { Instant } from '@figjunction/time';
import { randomUUID } from 'node:crypto';
import type { EntryContext } from '../entry-context.js';

const ENTRY_TIMEOUT_MS = 6_000;

/** After this long without a row change or a digest an entry counts as removed and its row is deleted. */
const ENTRY_ROW_RETENTION_MS = 120_000;

interface ObservedEntry {
  row: EntryRow;
  version: number;
  /** When the row last changed or a digest was last exchanged. */
  lastSeenAt: Instant;
}

export class EntryList {
  private readonly observed = new Map<EntryId, ObservedEntry>();

  private count = 0;

  private ownVersion = ABSENT_VERSION;

  private withdrawn = false;

  constructor(private readonly context: EntryContext) {}

  /** Rewrites this entry's row and reads those of the others. */
  async refresh(): Promise<void> {
    if (this.withdrawn) {
      return;
    }
    await this.writeOwnRow();
    const { rows } = await this.context.table.scan<EntryRow>({
      prefix: ENTRY_PREFIX,
      after: '',
      limit: SCAN_ROWS_MAXIMUM,
    });
    this.observe(rows);
    await this.deleteOldRows();
  }

  /** Records that an entry responded to a digest. */
  recordResponse(entryId: EntryId): void {
    const entry = this.observed.get(entryId);
    if (entry !== undefined) {
      entry.lastSeenAt = this.context.clock.now();
    }
  }

  /** Adds or refreshes an entry from its digest, which also works while the table is unavailable. */
  recordDigest(known: KnownEntry & { incarnation: string; revision: number }): void {
    const entry = this.observed.get(known.entryId);
    const row: EntryRow = { ...known, writeId: '', count: entry?.row.count ?? 0 };
    const version = entry?.version ?? ABSENT_VERSION;
    this.observed.set(known.entryId, { row, version, lastSeenAt: this.context.clock.now() });
  }

  /** Publishes the live entries to the peer directory. */
  publish(now: Instant): void {
    const { logger, peers, settings } = this.context;
    const live = [...this.observed.values()]
      .filter((entry) => entry.row.entryId !== settings.entryId)
      .filter((entry) => now - entry.lastSeenAt <= ENTRY_TIMEOUT_MS)
      .map(({ row }) => ({
        entryId: row.entryId,
        address: row.address,
        location: row.location,
      }));
    const before = peers.others().map((entry) => `${entry.entryId} ${entry.address}`);
    const after = live.map((entry) => `${entry.entryId} ${entry.address}`);
    if (before.sort().join() !== after.sort().join()) {
      logger.info({ entries: live.map((entry) => entry.entryId) }, 'live entries changed');
      peers.setLive(live);
    }
  }

  /** Deletes this entry's row at a planned stop, so that its shards move immediately. */
  async withdraw(): Promise<void> {
    this.withdrawn = true;
    const key = entryKey(this.context.settings.entryId);
    await this.context.table.transact({
      checks: [],
      writes: [{ key, expectedVersion: this.ownVersion, value: null }],
    });
  }

  private async writeOwnRow(): Promise<void> {
    const { configuration, incarnation, peers, settings, table } = this.context;
    this.count += 1;
    const key = entryKey(settings.entryId);
    const value: EntryRow = {
      ...peers.own(),
      incarnation,
      count: this.count,
      revision: configuration.revision(),
      writeId: randomUUID(),
    };
    const result = await table.transact({
      checks: [],
      writes: [{ key, expectedVersion: this.ownVersion, value }],
    });
    if (result.committed) {
      this.ownVersion = result.versions[0] ?? ABSENT_VERSION;
      return;
    }
    const [row] = await table.read<EntryRow>([key]);
    this.ownVersion = row?.version ?? ABSENT_VERSION;
  }

  private observe(rows: VersionedRow<EntryRow>[]): void {
    const now = this.context.clock.now();
    for (const { value, version } of rows) {
      const known = this.observed.get(value.entryId);
      if (known === undefined || known.version !== version) {
        this.observed.set(value.entryId, { row: value, version, lastSeenAt: now });
      }
    }
    const present = new Set(rows.map((row) => row.value.entryId));
    for (const [entryId, entry] of this.observed) {
      const withdrawn = entry.version !== ABSENT_VERSION && !present.has(entryId);
      if (withdrawn) {
        this.observed.delete(entryId);
      }
    }
  }

  private async deleteOldRows(): Promise<void> {
    const now = this.context.clock.now();
    for (const [entryId, entry] of this.observed) {
      const isOther = entryId !== this.context.settings.entryId;
      if (isOther && now - entry.lastSeenAt > ENTRY_ROW_RETENTION_MS) {
        await this.context.table.transact({
          checks: [],
          writes: [{ key: entryKey(entryId), expectedVersion: entry.version, value: null }],
        });
        this.observed.delete(entryId);
      }
    }
  }
}
