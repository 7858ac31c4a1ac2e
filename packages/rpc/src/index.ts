/**
 * Typed JSON-RPC 2.0 client and server over HTTP for calls between processes.
 */
export * from './rpc-client.js';
export * from './rpc-error.js';
export * from './rpc-server.js';
export * from './shared-token.js';
