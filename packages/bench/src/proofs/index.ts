/**
 * All proofs, in the order of the invariants.
 */
import type { Proof } from './proof.js';

export const PROOFS: Proof[] = [];
