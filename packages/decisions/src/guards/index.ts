/**
 * The guard ladder: throttle, move, stop.
 */
export * from './guard-ladder.js';
export * from './guard-types.js';
