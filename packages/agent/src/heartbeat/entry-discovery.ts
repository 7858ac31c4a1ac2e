/**
 * Keeps the list of entries: first from the settings and the table, then from the entries' own answers.
 * Each answer lists the entries that its sender believes alive; the union of recent answers is used,
 * because an entry that is cut off from its peers knows only itself.
 */
import type { Instant } from '@figjunction/time';
import { ENTRY_PREFIX, SCAN_ROWS_MAXIMUM } from '@figjunction/types';
import type { EntryListUpdate, EntryRow, KnownEntry } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

/** Lists older than this are ignored, as entries drop a silent peer after the same time. */
const LIST_VALID_MS = 6_000;

interface AnsweredList extends EntryListUpdate {
  answeredAt: Instant;
}

export class EntryFinder {
  /** By address of the entry that answered. */
  private readonly lists = new Map<string, AnsweredList>();

  private fromTable: KnownEntry[] = [];

  constructor(private readonly context: AgentContext) {}

  /** Whether any entry answered lately. */
  hasAnswer(now: Instant): boolean {
    return this.recentLists(now).length > 0;
  }

  /** The version of the list that the entry at the address answered last; empty without one. */
  versionFrom(address: string): string {
    return this.lists.get(address)?.version ?? '';
  }

  /** Takes an answer; it holds no list when the one that was answered before is still right. */
  noteAnswer(address: string, update: EntryListUpdate | undefined, answeredAt: Instant): void {
    const list = update ?? this.lists.get(address);
    if (list !== undefined) {
      const { version, entries } = list;
      this.lists.set(address, { version, entries, answeredAt });
    }
    this.refresh(answeredAt);
  }

  async readTable(): Promise<void> {
    const page = await this.context.table.scan<EntryRow>({
      prefix: ENTRY_PREFIX,
      after: '',
      limit: SCAN_ROWS_MAXIMUM,
    });
    this.fromTable = page.rows.map(({ value }) => ({
      entryId: value.entryId,
      address: value.address,
      location: value.location,
    }));
    this.refresh(this.context.clock.now());
  }

  refresh(now: Instant): void {
    const recent = this.recentLists(now);
    const known = recent.flatMap((list) => list.entries);
    const candidates = recent.length > 0 ? known : [...this.lastKnown(), ...this.seeds()];
    this.context.entries.set(withoutDuplicates(candidates));
  }

  private recentLists(now: Instant): AnsweredList[] {
    return [...this.lists.values()].filter((list) => now - list.answeredAt < LIST_VALID_MS);
  }

  /** Without an answer, entries named by the table or by any earlier answer may still come back. */
  private lastKnown(): KnownEntry[] {
    return [...this.fromTable, ...this.context.entries.all()];
  }

  private seeds(): KnownEntry[] {
    const { entries, location } = this.context.settings;
    return entries.map((address) => ({ entryId: address, address, location }));
  }
}

/** The first entry of each address wins: rows and answers come before seeds, which lack the id. */
function withoutDuplicates(entries: KnownEntry[]): KnownEntry[] {
  const byAddress = new Map<string, KnownEntry>();
  for (const entry of entries) {
    if (entry.address !== '' && !byAddress.has(entry.address)) {
      byAddress.set(entry.address, entry);
    }
  }
  return [...byAddress.values()];
}
