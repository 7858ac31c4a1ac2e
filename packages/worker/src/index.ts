/**
 * The worker on a target VM: interface and client.
 */
export * from './http-worker.js';
export * from './worker.js';
export * from './worker-error.js';
