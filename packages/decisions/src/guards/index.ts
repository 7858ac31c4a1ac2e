/**
 * Throttles, moves or stops batch tasks that slow down the services on the same VM.
 */
export * from './guard-decision.js';
export * from './guard-types.js';
