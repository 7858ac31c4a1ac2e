/**
 * Slowdown between services and the batch work beside them.
 */
export * from './interference-table.js';
