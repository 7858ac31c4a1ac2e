/**
 * Pure scheduling decisions for requests and tasks, without I/O.
 */
export * from './placement/index.js';
export * from './quarantine/index.js';
export * from './estimates/index.js';
export * from './guards/index.js';
export * from './interference/index.js';
export * from './capacity/index.js';
export * from './admission/index.js';
export * from './routing/index.js';
