import assert from 'node:assert/strict';
import { test } from 'node:test';
import { parseMetrics } from './metrics-reader.js';

test('samples of one name are summed over their labels, comments are left out', () => {
  const text = [
    '# HELP claims_total claims_total',
    '# TYPE claims_total counter',
    'claims_total 3',
    'task_orders_total{method="task.start"} 2',
    'task_orders_total{method="task.stop"} 5',
    '',
  ].join('\n');
  assert.deepEqual(
    [...parseMetrics(text)],
    [
      ['claims_total', 3],
      ['task_orders_total', 7],
    ],
  );
});
