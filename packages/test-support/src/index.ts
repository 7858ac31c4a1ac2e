/**
 * Stand-ins for the platform and the worker, a TCP relay and a process harness. Tests only.
 */
export * from './platform/fake-platform.js';
export * from './platform/memory-services.js';
export * from './platform/memory-table.js';
export * from './platform/platform-faults.js';
export * from './platform/platform-server.js';
export * from './worker/execution-log.js';
export { hashBody } from './worker/fake-target.js';
export type { TargetAnswer } from './worker/fake-target.js';
export * from './worker/fake-worker.js';
export * from './worker/worker-faults.js';
export * from './worker/worker-server.js';
export * from './cluster/cluster.js';
export * from './cluster/cluster-relays.js';
export * from './cluster/cluster-settings.js';
export * from './cluster/cluster-status.js';
export * from './cluster/control-client.js';
export * from './cluster/entry-client.js';
export * from './harness/free-port.js';
export * from './harness/managed-process.js';
export * from './harness/process-harness.js';
export * from './harness/wait-until.js';
export { Silence } from './relay/relayed-connection.js';
export * from './relay/tcp-relay.js';
export * from './contracts/object-store-contract.js';
export * from './contracts/table-service-contract.js';
export * from './contracts/worker-contract.js';
