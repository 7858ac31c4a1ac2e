/**
 * Pure scheduling decisions as systems over tables.
 */
export * from './admission/index.js';
export * from './routing/index.js';
export * from './room/index.js';
