/**
 * Clocks, deadlines, seeded randomness and the tick loop.
 */
export * from './clock.js';
export * from './deadline.js';
export * from './hedged-call.js';
export * from './random-source.js';
export * from './tick-loop.js';
export * from './wake-loop.js';
export * from './single-flight.js';
