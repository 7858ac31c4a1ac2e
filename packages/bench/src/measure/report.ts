/**
 * Lines of the report: one per policy, and the ratios when both ran.
 */
import { Policy } from './scenario.js';
import type { Figures, Scenario, ScenarioResult, ScenarioRun } from './scenario.js';

const RATIO_DIGITS = 3;
const FIGURE_DIGITS = 3;
const MILLISECONDS_PER_SECOND = 1_000;

export interface PolicyLine extends ScenarioResult {
  scenario: string;
  policy: Policy;
  seed: number;
  seconds: number;
}

export async function measurePolicy(scenario: Scenario, run: ScenarioRun): Promise<PolicyLine> {
  const startedAt = performance.now();
  const { load, figures } = await scenario.run(run);
  const seconds = (performance.now() - startedAt) / MILLISECONDS_PER_SECOND;
  return {
    scenario: scenario.name,
    ...run,
    seconds: round(seconds, 1),
    load,
    figures: roundFigures(figures),
  };
}

/** Product divided by baseline, for each figure that both have and whose baseline is not zero. */
export function ratiosOf(baseline: Figures, product: Figures): Figures {
  const entries = Object.entries(product).map(([name, value]) => {
    const base = baseline[name] ?? null;
    const isKnown = value !== null && base !== null && base !== 0;
    return [name, isKnown ? round(value / base, RATIO_DIGITS) : null];
  });
  return Object.fromEntries(entries) as Figures;
}

function roundFigures(figures: Figures): Figures {
  return Object.fromEntries(
    Object.entries(figures).map(([name, value]) => [
      name,
      value === null ? null : roundFigure(value),
    ]),
  );
}

/** Keeps the digits of small figures: a slope per task row can be far below one thousandth. */
function roundFigure(value: number): number {
  return Math.abs(value) < 1
    ? Number(value.toPrecision(FIGURE_DIGITS))
    : round(value, FIGURE_DIGITS);
}

function round(value: number, digits: number): number {
  return Number(value.toFixed(digits));
}
