/**
 * Room on one VM: sums of sizes and admission.
 */
export * from './resource-arithmetic.js';
export * from './room.js';
