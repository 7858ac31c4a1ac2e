/**
 * All measured scenarios, by name.
 */
import type { Scenario } from '../scenario.js';
import { startRate } from './start-rate.js';

export const SCENARIOS: Scenario[] = [startRate];
