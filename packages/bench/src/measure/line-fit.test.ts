import assert from 'node:assert/strict';
import { test } from 'node:test';
import { fitLine, slopeFigures } from './line-fit.js';

test('a line through points off it has the least-squares slope and the largest deviation', () => {
  const fit = fitLine([
    { x: 0, y: 1 },
    { x: 1, y: 0 },
    { x: 2, y: 5 },
  ]);
  assert.deepEqual(fit, { slope: 2, intercept: 0, largestDeviation: 2 });
});

test('sizes that are unevenly spaced weigh by their distance', () => {
  const points = [10, 40, 160].map((x) => ({ x, y: 3 + 0.5 * x }));
  const { slope, intercept, largestDeviation } = fitLine(points);
  assert.ok(Math.abs(slope - 0.5) < 1e-9);
  assert.ok(Math.abs(intercept - 3) < 1e-9);
  assert.ok(largestDeviation < 1e-9);
});

test('a figure that was not taken at every size has no line, but keeps the sizes it has', () => {
  const figures = slopeFigures('Team', [
    { size: 1, figures: { cost: 2 } },
    { size: 2, figures: { cost: null } },
  ]);
  assert.equal(figures.costAt1, 2);
  assert.equal(figures.costPerTeam, null);
});
