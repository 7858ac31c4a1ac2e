/**
 * Estimates of task size and run time per kind.
 */
export * from './estimate-table.js';
