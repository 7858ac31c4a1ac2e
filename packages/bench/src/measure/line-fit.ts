/**
 * Straight lines through measured points: the slope is what one more unit costs, the intercept what an
 * idle system costs, and the largest deviation tells how far the line can be trusted.
 */
import type { Figures } from './scenario.js';

export interface Point {
  x: number;
  y: number;
}

export interface LineFit {
  slope: number;
  intercept: number;
  /** Distance from the line, along y, of the point that is farthest from it. */
  largestDeviation: number;
}

/** Least-squares line; needs at least two different x. */
export function fitLine(points: Point[]): LineFit {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const deviations = points.map(({ x, y }) => Math.abs(y - (intercept + slope * x)));
  return { slope, intercept, largestDeviation: Math.max(...deviations) };
}

/**
 * Figures of every size and their fitted line, for each figure. A figure that is null at one size has no
 * line.
 */
export function slopeFigures(unit: string, costs: { size: number; figures: Figures }[]): Figures {
  const figures: Figures = {};
  for (const name of Object.keys(costs[0]?.figures ?? {})) {
    const points: Point[] = [];
    for (const cost of costs) {
      const value = cost.figures[name] ?? null;
      figures[`${name}At${cost.size}`] = value;
      if (value !== null) {
        points.push({ x: cost.size, y: value });
      }
    }
    const fit = points.length === costs.length ? fitLine(points) : null;
    figures[`${name}Per${unit}`] = fit?.slope ?? null;
    figures[`${name}Intercept`] = fit?.intercept ?? null;
    figures[`${name}LargestDeviation`] = fit?.largestDeviation ?? null;
  }
  return figures;
}

export function mean(values: number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
