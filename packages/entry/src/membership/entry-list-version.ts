/**
 * Names the content of the list of live entries, so that an agent gets the list only when it changed. The
 * name depends on nothing but the content: it survives a restart of the entry and needs no count.
 */
import { createHash } from 'node:crypto';
import type { EntryListUpdate, KnownEntry } from '@figjunction/types';

/** 60 bits; a list that changes once a second for a year meets an equal name with odds of 1 in 10^10. */
const VERSION_LENGTH = 10;

export class EntryListVersion {
  private text = '';

  private version = '';

  /** Null when the agent has this list already. */
  updateFor(entries: KnownEntry[], versionOfAgent: string): EntryListUpdate | null {
    const text = JSON.stringify(entries);
    if (text !== this.text) {
      this.text = text;
      const hash = createHash('sha256').update(text).digest('base64url');
      this.version = hash.slice(0, VERSION_LENGTH);
    }
    return this.version === versionOfAgent ? null : { version: this.version, entries };
  }
}
