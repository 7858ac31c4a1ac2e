/**
 * Pure scheduling decisions as systems over tables.
 */
export * from './estimates/index.js';
export * from './guards/index.js';
export * from './interference/index.js';
export * from './room/index.js';
export * from './admission/index.js';
export * from './routing/index.js';
