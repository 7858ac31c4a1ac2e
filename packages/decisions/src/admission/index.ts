/**
 * Who may use a slot, a queue or a quota, and in which order.
 */
export * from './slot-admission.js';
