/**
 * Assigns pending tasks to VMs.
 */
export * from './placement-plan.js';
export * from './placement-types.js';
export * from './possible-fit.js';
