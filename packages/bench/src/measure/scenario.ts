/**
 * What a measured scenario is made of.
 */
import type { PolicySettings } from '@figjunction/config';
import { PlacementMode } from '@figjunction/types';

export enum Policy {
  /** Every mechanism of the product off. */
  Baseline = 'baseline',
  Product = 'product',
  /** The product with one mechanism changed, to show what that one is worth. */
  Pull = 'pull',
  WithoutRouting = 'without-routing',
  WithoutFairness = 'without-fairness',
  WithoutLearning = 'without-learning',
  WithoutInterference = 'without-interference',
  WithoutGuards = 'without-guards',
  WithoutQuarantine = 'without-quarantine',
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

const PRODUCT_SETTINGS: PolicySettings = {
  routing: true,
  fairness: true,
  learning: true,
  interference: true,
  guards: true,
  quarantine: true,
  placementMode: PlacementMode.Push,
};

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
  [Policy.Product]: PRODUCT_SETTINGS,
  [Policy.Pull]: { ...PRODUCT_SETTINGS, placementMode: PlacementMode.Pull },
  [Policy.WithoutRouting]: { ...PRODUCT_SETTINGS, routing: false },
  [Policy.WithoutFairness]: { ...PRODUCT_SETTINGS, fairness: false },
  [Policy.WithoutLearning]: { ...PRODUCT_SETTINGS, learning: false },
  [Policy.WithoutInterference]: { ...PRODUCT_SETTINGS, interference: false },
  [Policy.WithoutGuards]: { ...PRODUCT_SETTINGS, guards: false },
  [Policy.WithoutQuarantine]: { ...PRODUCT_SETTINGS, quarantine: false },
};

export function settingsOf(policy: Policy): PolicySettings {
  return SETTINGS_BY_POLICY[policy];
}
