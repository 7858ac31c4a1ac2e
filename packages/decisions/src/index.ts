/**
 * Pure scheduling decisions as systems over tables.
 */
export * from './placement/index.js';
export * from './quarantine/index.js';
