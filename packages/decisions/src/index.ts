/**
 * Pure scheduling decisions as systems over tables.
 */
export * from './placement/index.js';
export * from './quarantine/index.js';
export * from './admission/index.js';
export * from './routing/index.js';
export * from './room/index.js';
