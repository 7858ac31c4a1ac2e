/**
 * quickstart, prove and measure.
 */
export {};
