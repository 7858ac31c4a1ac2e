/**
 * Pure scheduling decisions as systems over tables.
 */
export * from './room/index.js';
