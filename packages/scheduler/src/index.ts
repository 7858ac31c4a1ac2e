/**
 * The scheduler of a cell: its lease, the intake of jobs, the store of progress, orders to runners.
 */
export * from './adviser.js';
export * from './cell-context.js';
export * from './cell-scheduler.js';
export * from './cell-collections.js';
export * from './collection-watch.js';
export * from './configuration-feed.js';
export * from './owner-directory.js';
