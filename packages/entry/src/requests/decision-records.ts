/**
 * Adds the parts that every decision record of this entry shares.
 */
import type { DecisionRecord } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';

export type DecisionFacts = Omit<
  DecisionRecord,
  'decidedAt' | 'decidedBy' | 'configurationRevision'
>;

export function recordDecision(context: EntryContext, facts: DecisionFacts): void {
  context.decisions.add({
    ...facts,
    decidedAt: new Date(context.clock.wallTimeMs()).toISOString(),
    decidedBy: context.settings.entryId,
    configurationRevision: context.configuration.revision(),
  });
}
