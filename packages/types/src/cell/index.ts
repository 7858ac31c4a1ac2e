/**
 * Shapes of a cell: jobs of steps, operator configuration, and the messages of its processes.
 */
export * from './cell-messages.js';
export * from './fleet-configuration.js';
export * from './job-specification.js';
