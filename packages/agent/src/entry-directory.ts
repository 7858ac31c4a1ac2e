/**
 * The entries that this agent sends heartbeats to.
 */
import type { EntryId, KnownEntry } from '@figjunction/types';

export class EntryDirectory {
  private entries: KnownEntry[] = [];

  /** Entries whose last call failed; callers try the others first. */
  private readonly failed = new Set<EntryId>();

  set(entries: KnownEntry[]): void {
    this.entries = entries;
  }

  all(): KnownEntry[] {
    return this.entries;
  }

  markFailed(entryId: EntryId): void {
    this.failed.add(entryId);
  }

  markSucceeded(entryId: EntryId): void {
    this.failed.delete(entryId);
  }

  /** All entries; those whose last call failed come last. */
  inPreferenceOrder(): KnownEntry[] {
    return [...this.entries].sort(
      (left, right) =>
        Number(this.failed.has(left.entryId)) - Number(this.failed.has(right.entryId)),
    );
  }
}
