/**
 * Runs next to each VM: extends its lease, executes start and stop orders, reports runs to the scheduler.
 */
export * from './heartbeat-receiver.js';
export * from './runner.js';
export * from './runner-error.js';
export * from './vm-host.js';
