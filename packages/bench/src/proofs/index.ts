/**
 * All proofs, in the order of the invariants.
 */
import { capacityProof } from './capacity.js';
import { configurationProof } from './configuration.js';
import { leavingTargetsProof } from './leaving-targets.js';
import type { Proof } from './proof.js';

export const PROOFS: Proof[] = [capacityProof, leavingTargetsProof, configurationProof];
