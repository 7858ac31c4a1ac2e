/**
 * Bounded HTTP servers and clients over the Node http module.
 */
export * from './http-client.js';
export * from './http-error.js';
export * from './http-server.js';
export * from './read-lines.js';
