/**
 * Quarantine of workers that fail many kinds and of kinds that fail on many workers.
 */
export * from './failure-history.js';
