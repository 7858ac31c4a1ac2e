/**
 * All proofs, in the order of the invariants.
 */
import { capacityProof } from './capacity-proof.js';
import type { Proof } from './proof.js';

export const PROOFS: Proof[] = [capacityProof];
import { configurationProof } from './configuration.js';
import type { Proof } from './proof.js';

export const PROOFS: Proof[] = [configurationProof];
