/**
 * The frame of a daemon: modules, one HTTP server, one loop, a graceful stop.
 */
export * from './daemon-module.js';
export * from './start-daemon.js';
