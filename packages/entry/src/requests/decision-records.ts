/**
 * Stores decision records with the fields that all records of this entry share.
 */
import type { DecisionRecord } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';

/** The fields of a decision record that differ from decision to decision. */
export type DecisionDetails = Omit<
  DecisionRecord,
  'decidedAt' | 'decidedBy' | 'configurationRevision'
>;

export function recordDecision(context: EntryContext, details: DecisionDetails): void {
  context.decisions.add({
    ...details,
    decidedAt: new Date(context.clock.wallTimeMs()).toISOString(),
    decidedBy: context.settings.entryId,
    configurationRevision: context.configuration.revision(),
  });
}
