/**
 * All proofs, in the order of the invariants.
 */
import { configurationProof } from './configuration.js';
import { evictedResumesOnceProof } from './evicted-resumes-once.js';
import type { Proof } from './proof.js';
import { runInOnePlaceProof } from './run-in-one-place.js';

export const PROOFS: Proof[] = [runInOnePlaceProof, evictedResumesOnceProof, configurationProof];
