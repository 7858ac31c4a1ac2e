/**
 * The process beside a VM: holds its lease, carries out orders, reports what runs and ends.
 */
export * from './runner.js';
export * from './runner-error.js';
export * from './vm-host.js';
