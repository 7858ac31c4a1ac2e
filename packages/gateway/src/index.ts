/**
 * The gateway for callers: submits, queries and cancels jobs.
 */
export * from './configuration-gate.js';
export * from './gateway-context.js';
export * from './gateway-error.js';
export * from './job-cancellation.js';
export * from './job-queries.js';
export * from './job-submission.js';
