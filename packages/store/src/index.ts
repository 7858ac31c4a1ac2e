/**
 * Interfaces and HTTP clients for the platform's table and object stores, with write batching and retries.
 */
export * from './backoff.js';
export * from './feed-store.js';
export * from './http-object-store.js';
export * from './http-table-service.js';
export * from './object-store.js';
export type { HttpPlatformOptions } from './platform-client.js';
export { PlatformError } from './platform-error.js';
export * from './retry-budget.js';
export * from './store-clock.js';
export * from './store-health.js';
export * from './table-service.js';
export * from './write-batcher.js';
export { SUPERSEDED_VERSION } from './write-item.js';
export type { WriteOutcome, WriteRequest } from './write-item.js';
export { TransactionOutcome } from './write-resolution.js';
