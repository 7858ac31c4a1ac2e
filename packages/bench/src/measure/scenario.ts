/**
 * What a measured scenario is made of.
 */
import type { PolicySettings } from '@figjunction/config';
import { PlacementMode } from '@figjunction/types';

export enum Policy {
  /** Every mechanism of the product off. */
  Baseline = 'baseline',
  Product = 'product',
}

/** Names and values that a line of the report holds. A figure that could not be taken is null. */
export type Figures = Record<string, number | null>;

export interface ScenarioRun {
  policy: Policy;
  seed: number;
}

export interface ScenarioResult {
  /** What was done to the system. */
  load: Record<string, number | string>;
  figures: Figures;
}

export interface Scenario {
  name: string;
  /** What the scenario stands for, in one line. */
  summary: string;
  run(run: ScenarioRun): Promise<ScenarioResult>;
}

const SETTINGS_BY_POLICY: Record<Policy, PolicySettings> = {
  [Policy.Baseline]: {
    routing: false,
    fairness: false,
    learning: false,
    interference: false,
    guards: false,
    quarantine: false,
    placementMode: PlacementMode.Push,
  },
  [Policy.Product]: {
    routing: true,
    fairness: true,
    learning: true,
    interference: true,
    guards: true,
    quarantine: true,
    placementMode: PlacementMode.Push,
  },
};

export function settingsOf(policy: Policy): PolicySettings {
  return SETTINGS_BY_POLICY[policy];
}
