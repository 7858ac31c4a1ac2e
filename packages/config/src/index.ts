/**
 * Operator configuration and process settings: parsing, checking and the JSON Schema.
 */
export * from './compare-configurations.js';
export * from './configuration-problem.js';
export * from './configuration-schema.js';
export * from './load-settings.js';
export * from './operator-configuration.js';
export { parseJsonWithComments } from './parse-document.js';
export * from './parse-operator-configuration.js';
export * from './process-settings.js';
export * from './setting-overrides.js';
