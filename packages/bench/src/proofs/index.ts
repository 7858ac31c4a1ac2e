/**
 * All proofs, in the order of the invariants.
 */
import { EVICTED_RESUMES_ONCE } from './evicted-resumes-once.js';
import { configurationProof } from './configuration.js';
import type { Proof } from './proof.js';
import { RUN_IN_ONE_PLACE } from './run-in-one-place.js';

export const PROOFS: Proof[] = [RUN_IN_ONE_PLACE, EVICTED_RESUMES_ONCE];
export const PROOFS: Proof[] = [configurationProof];
