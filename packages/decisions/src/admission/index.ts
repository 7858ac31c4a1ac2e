/**
 * Admission control: request queues, slots, rate limits and quotas.
 */
export * from './class-limits.js';
export * from './fair-queue.js';
export * from './fifo-queue.js';
export * from './queue-entry.js';
export * from './quota.js';
export * from './slot-admission.js';
export * from './token-bucket.js';
export * from './overload-detector.js';
