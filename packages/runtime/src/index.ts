/**
 * Runs the modules of a daemon with one HTTP server and one tick loop, and shuts them down gracefully.
 */
export * from './daemon-module.js';
export * from './start-daemon.js';
