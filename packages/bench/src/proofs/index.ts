/**
 * All proofs, in the order of the invariants.
 */
import { atMostOnceProof } from './at-most-once.js';
import { completeAnswersProof } from './complete-answers.js';
import { configurationProof } from './configuration.js';
import { gracefulStopProof } from './graceful-stop.js';
import { notRunIsTrueProof } from './not-run-is-true.js';
import type { Proof } from './proof.js';

export const PROOFS: Proof[] = [
  completeAnswersProof,
  notRunIsTrueProof,
  atMostOnceProof,
  gracefulStopProof,
  configurationProof,
];
