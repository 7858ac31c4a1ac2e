/**
 * Computes a version of the list of live entries, so that an agent receives the list only when it changed.
 * The version is a hash of the content: it survives a restart of the entry and needs no counter.
 */
import { createHash } from 'node:crypto';
import type { EntryListUpdate, KnownEntry } from '@figjunction/types';

/** 60 bits: a list that changes once a second for a year has a collision with odds of 1 in 10^10. */
const VERSION_LENGTH = 10;

export class EntryListVersion {
  private text = '';

  private version = '';

  /** Returns null if the agent already has this list. */
  updateFor(entries: KnownEntry[], agentVersion: string): EntryListUpdate | null {
    const text = JSON.stringify(entries);
    if (text !== this.text) {
      this.text = text;
      const hash = createHash('sha256').update(text).digest('base64url');
      this.version = hash.slice(0, VERSION_LENGTH);
    }
    return this.version === agentVersion ? null : { version: this.version, entries };
  }
}
