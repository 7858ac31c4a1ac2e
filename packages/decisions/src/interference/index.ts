/**
 * Learns and predicts how much batch tasks slow down services on the same VM.
 */
export * from './interference-table.js';
