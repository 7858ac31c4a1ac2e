/**
 * Counters, latency histograms, the metrics page and traces.
 */
export * from './metrics.js';
export * from './tracing.js';
export * from './decision-log.js';
