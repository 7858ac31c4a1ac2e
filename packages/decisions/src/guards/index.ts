/**
 * The guard ladder: throttle, move, stop.
 */
export * from './guard-decision.js';
export * from './guard-types.js';
