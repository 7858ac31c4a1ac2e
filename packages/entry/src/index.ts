/**
 * The entry daemon: serves callers and operators, and does routing, admission and placement.
 */
export * from './agent-directory.js';
export * from './entry-context.js';
export * from './entry-daemon.js';
export { createRequestModule } from './requests/index.js';
