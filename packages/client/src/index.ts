/**
 * The figjunction command-line client.
 */
export * from './client-context.js';
export * from './exit-code.js';
export * from './run-client.js';
export * from './terminal.js';
