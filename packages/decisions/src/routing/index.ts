/**
 * Routes requests to service instances, with outlier ejection and a retry budget.
 */
export * from './choose-target.js';
export * from './explain-choice.js';
export * from './latency-window.js';
export * from './outlier-ejection.js';
export * from './retry-budget.js';
