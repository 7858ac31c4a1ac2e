/**
 * Estimates of size and run time by kind.
 */
export * from './estimate-table.js';
