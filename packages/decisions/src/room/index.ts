/**
 * Room on one VM: sums of sizes, admission and overload.
 */
export * from './overload.js';
export * from './resource-arithmetic.js';
export * from './free-capacity.js';
