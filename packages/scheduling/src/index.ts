/**
 * Tables and systems of a cell, without I/O: jobs, VMs, runs, placement and recovery.
 */
export * from './advice.js';
export * from './cell-state.js';
export * from './crashes.js';
export * from './ends.js';
export * from './evacuate.js';
export * from './job-limits.js';
export * from './job-table.js';
export * from './lease-expiry.js';
export * from './place.js';
export * from './place-step.js';
export * from './placement-obstacle.js';
export * from './preempt.js';
export * from './progress.js';
export * from './progress-row.js';
export * from './rank.js';
export * from './records.js';
export * from './relocate.js';
export * from './report-pace.js';
export * from './reports.js';
export * from './settlement.js';
export * from './stall.js';
export * from './vm-health.js';
