/**
 * Enums, identifiers, table rows and message shapes shared by all packages.
 */
export * from './agent-slice.js';
export * from './cell/index.js';
export * from './decision-record.js';
export * from './enums.js';
export * from './headers.js';
export * from './heartbeat-messages.js';
export * from './identifiers.js';
export * from './job-messages.js';
export * from './messages.js';
export * from './platform-messages.js';
export * from './resources.js';
export * from './rows.js';
export * from './rpc-methods.js';
export * from './table-keys.js';
export * from './worker-messages.js';
