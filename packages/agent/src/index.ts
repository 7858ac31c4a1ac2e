/**
 * The agent daemon that runs next to each worker: capacity, request attempts, batch runs and guards.
 */
export * from './agent-context.js';
export * from './agent-daemon.js';
export { createAttemptModule } from './attempts/index.js';
export * from './heartbeat/heartbeat-composer.js';
export { InstanceChangeFilter } from './heartbeat/instance-change-filter.js';
export { UsageChangeFilter } from './heartbeat/usage-change-filter.js';
