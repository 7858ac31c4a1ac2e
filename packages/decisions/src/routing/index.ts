/**
 * Which instance of a service gets a request.
 */
export * from './choose-target.js';
