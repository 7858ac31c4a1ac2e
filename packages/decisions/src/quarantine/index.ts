/**
 * Quarantine of workers on which many kinds fail, and holds of kinds that fail on many workers.
 */
export * from './failure-history.js';
