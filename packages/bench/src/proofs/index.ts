/**
 * All proofs, in the order of the invariants.
 */
import { configurationProof } from './configuration.js';
import type { Proof } from './proof.js';

export const PROOFS: Proof[] = [configurationProof];
