/**
 * Interface and HTTP client of the worker, which runs tasks on a VM.
 */
export * from './http-worker.js';
export * from './worker.js';
export * from './worker-error.js';
