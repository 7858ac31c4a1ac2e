/**
 * The scheduler of a cell: holds the cell's lease, loads jobs, stores progress and sends orders to runners.
 */
export * from './adviser.js';
export * from './cell-context.js';
export * from './cell-scheduler.js';
export * from './cell-collections.js';
export * from './collection-watch.js';
export * from './configuration-feed.js';
export * from './configuration-follower.js';
export * from './owner-directory.js';
export * from './processor-load.js';
export * from './row-schemas.js';
export * from './stored-rows.js';
