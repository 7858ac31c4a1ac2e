/**
 * Placement of tasks on VMs.
 */
export * from './placement-plan.js';
export * from './placement-types.js';
export * from './possible-fit.js';
