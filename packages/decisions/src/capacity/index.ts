/**
 * Free capacity of one VM: resource arithmetic, admission of tasks and overload.
 */
export * from './overload.js';
export * from './resource-arithmetic.js';
export * from './free-capacity.js';
