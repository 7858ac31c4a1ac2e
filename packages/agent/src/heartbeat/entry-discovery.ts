/**
 * Discovers the entries: first from the settings and the table, then from the responses of the entries. Each
 * response lists the entries that its sender considers alive. The union of the recent lists is used, because
 * an entry that is partitioned from its peers lists only itself.
 */
import type { Instant } from '@figjunction/time';
import { ENTRY_PREFIX, SCAN_ROWS_MAXIMUM } from '@figjunction/types';
import type { EntryListUpdate, EntryRow, KnownEntry } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

/** Lists older than this are ignored; entries drop an unreachable peer after the same time. */
const LIST_VALIDITY_MS = 6_000;

interface ReceivedList extends EntryListUpdate {
  receivedAt: Instant;
}

export class EntryDiscovery {
  /** The last list of each entry, by the address of the entry. */
  private readonly lists = new Map<string, ReceivedList>();

  private tableEntries: KnownEntry[] = [];

  constructor(private readonly context: AgentContext) {}

  /** Whether any entry responded within the validity of its list. */
  hasRecentResponse(now: Instant): boolean {
    return this.listRecent(now).length > 0;
  }

  /** The version of the last list from the entry at the address; empty without one. */
  getListVersion(address: string): string {
    return this.lists.get(address)?.version ?? '';
  }

  /** Records a response. Without a list in it, the last list of that entry is still current. */
  recordResponse(address: string, update: EntryListUpdate | undefined, receivedAt: Instant): void {
    const list = update ?? this.lists.get(address);
    if (list !== undefined) {
      const { version, entries } = list;
      this.lists.set(address, { version, entries, receivedAt });
    }
    this.refresh(receivedAt);
  }

  async readTable(): Promise<void> {
    const page = await this.context.table.scan<EntryRow>({
      prefix: ENTRY_PREFIX,
      after: '',
      limit: SCAN_ROWS_MAXIMUM,
    });
    this.tableEntries = page.rows.map(({ value }) => ({
      entryId: value.entryId,
      address: value.address,
      location: value.location,
    }));
    this.refresh(this.context.clock.now());
  }

  /** Updates the entry directory of the context. */
  refresh(now: Instant): void {
    const recent = this.listRecent(now);
    const known = recent.flatMap((list) => list.entries);
    const candidates = recent.length > 0 ? known : [...this.listLastKnown(), ...this.listSeeds()];
    this.context.entries.set(removeDuplicates(candidates));
  }

  private listRecent(now: Instant): ReceivedList[] {
    return [...this.lists.values()].filter((list) => now - list.receivedAt < LIST_VALIDITY_MS);
  }

  /** Entries from the table or an earlier response, which may become reachable again. */
  private listLastKnown(): KnownEntry[] {
    return [...this.tableEntries, ...this.context.entries.all()];
  }

  private listSeeds(): KnownEntry[] {
    const { entries, location } = this.context.settings;
    return entries.map((address) => ({ entryId: address, address, location }));
  }
}

/** Keeps the first entry of each address: rows and responses come before seeds, which have no entry id. */
function removeDuplicates(entries: KnownEntry[]): KnownEntry[] {
  const byAddress = new Map<string, KnownEntry>();
  for (const entry of entries) {
    if (entry.address !== '' && !byAddress.has(entry.address)) {
      byAddress.set(entry.address, entry);
    }
  }
  return [...byAddress.values()];
}
