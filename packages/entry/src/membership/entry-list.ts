/**
 * The list of live entries. Each entry rewrites its own row; a reader drops an entry whose row did not
 * change and that answered no digest for a bound, both on the reader's own clock. While the table cannot
 * be read, digests alone decide.
 */
import { ABSENT_VERSION, ENTRY_PREFIX, SCAN_ROWS_MAXIMUM, entryKey } from '@figjunction/types';
import type { EntryId, EntryRow, KnownEntry, VersionedRow } from '@figjunction/types';
import type { Instant } from '@figjunction/time';
import { randomUUID } from 'node:crypto';
import type { EntryContext } from '../entry-context.js';

const ENTRY_SILENT_MS = 6_000;

/** An entry that was silent for this long is gone for good and its row is deleted. */
const ENTRY_ROW_RETENTION_MS = 120_000;

interface ObservedEntry {
  row: EntryRow;
  version: number;
  /** When the row was last seen to change or the entry last answered. */
  lastSign: Instant;
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

  /** Notes that an entry answered a digest or sent one. */
  noteAnswer(entryId: EntryId): void {
    const entry = this.observed.get(entryId);
    if (entry !== undefined) {
      entry.lastSign = this.context.clock.now();
    }
  }

  /** Learns an entry from its digest, for when the table cannot be read. */
  noteDigest(known: KnownEntry & { incarnation: string; revision: number }): void {
    const entry = this.observed.get(known.entryId);
    const row: EntryRow = { ...known, writeId: '', count: entry?.row.count ?? 0 };
    const version = entry?.version ?? ABSENT_VERSION;
    this.observed.set(known.entryId, { row, version, lastSign: this.context.clock.now() });
  }

  /** Publishes the live entries to the peer directory. */
  publish(now: Instant): void {
    const { logger, peers, settings } = this.context;
    const live = [...this.observed.values()]
      .filter((entry) => entry.row.entryId !== settings.entryId)
      .filter((entry) => now - entry.lastSign <= ENTRY_SILENT_MS)
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

  /** Deletes this entry's row at a planned stop, so that its shards move at once. */
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
        this.observed.set(value.entryId, { row: value, version, lastSign: now });
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
      if (isOther && now - entry.lastSign > ENTRY_ROW_RETENTION_MS) {
        await this.context.table.transact({
          checks: [],
          writes: [{ key: entryKey(entryId), expectedVersion: entry.version, value: null }],
        });
        this.observed.delete(entryId);
      }
    }
  }
}
