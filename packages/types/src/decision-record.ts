/**
 * The explanation of one automatic decision, as `figjunction explain` shows it.
 */
import type { DecisionKind, ExplainSubject } from './enums.js';

/** An option that was considered, and why it was rejected. */
export interface RejectedAlternative {
  option: string;
  reason: string;
}

/** A named input of a decision, for example `outstanding=3`. */
export interface DecisionInput {
  name: string;
  value: string | number | boolean;
}

export interface DecisionRecord {
  subject: ExplainSubject;
  subjectId: string;
  kind: DecisionKind;
  /** Wall-clock time for people, ISO 8601; never compared. */
  decidedAt: string;
  /** The entry or agent that decided. */
  decidedBy: string;
  configurationRevision: number;
  /** What was decided, in one sentence. */
  decision: string;
  inputs: DecisionInput[];
  rejected: RejectedAlternative[];
  /** The team concerned, so that other teams cannot read the record. */
  team: string | null;
}
