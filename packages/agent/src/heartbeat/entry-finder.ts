/**
 * Keeps the list of entries: first from the settings and the table, then from the entries' own answers.
 * Each answer lists the entries that its sender believes alive; the union of recent answers is used,
 * because an entry that is cut off from its peers knows only itself.
 */
import type { Instant } from '@figjunction/time';
import { ENTRY_PREFIX, SCAN_ROWS_MAXIMUM } from '@figjunction/types';
import type { EntryId, EntryRow, KnownEntry } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';

/** Lists older than this are ignored, as entries drop a silent peer after the same time. */
const LIST_VALID_MS = 6_000;

interface AnsweredList {
  entries: KnownEntry[];
  answeredAt: Instant;
}

export class EntryFinder {
  private readonly lists = new Map<EntryId, AnsweredList>();

  private fromTable: KnownEntry[] = [];

  constructor(private readonly context: AgentContext) {}

  /** Whether any entry answered lately. */
  hasAnswer(now: Instant): boolean {
    return this.recentLists(now).length > 0;
  }

  noteAnswer(entryId: EntryId, entries: KnownEntry[], answeredAt: Instant): void {
    this.lists.set(entryId, { entries, answeredAt });
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
