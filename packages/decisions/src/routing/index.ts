/**
 * Which instance of a service gets a request.
 */
export * from './choose-target.js';
export * from './explain-choice.js';
export * from './latency-window.js';
export * from './outlier-ejection.js';
export * from './retry-budget.js';
