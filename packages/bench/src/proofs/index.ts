/**
 * All proofs, in the order of the invariants.
 */
import { atMostOnceProof } from './at-most-once.js';
import { capacityProof } from './capacity.js';
import { completeAnswersProof } from './complete-answers.js';
import { configurationProof } from './configuration.js';
import { evictedResumesOnceProof } from './evicted-resumes-once.js';
import { gracefulStopProof } from './graceful-stop.js';
import { leavingTargetsProof } from './leaving-targets.js';
import { notRunIsTrueProof } from './not-run-is-true.js';
import type { Proof } from './proof.js';
import { runInOnePlaceProof } from './run-in-one-place.js';

export const PROOFS: Proof[] = [
  capacityProof,
  runInOnePlaceProof,
  evictedResumesOnceProof,
  completeAnswersProof,
  notRunIsTrueProof,
  atMostOnceProof,
  leavingTargetsProof,
  gracefulStopProof,
  configurationProof,
];
