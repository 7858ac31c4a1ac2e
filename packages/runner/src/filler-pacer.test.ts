/**
 * Guards against filler tasks that keep a serving task above its latency target, and against slowing filler
 * tasks that do not affect it.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventLog, createLogger } from '@figjunction/logger';
import { ManualClock } from '@figjunction/time';
import { FakeVmHost } from './fake-vm-host.js';
import { FillerPacer } from './filler-pacer.js';
import { RunTable } from './run-table.js';

const CALL = { instanceId: 'instance-1', epoch: 1 };
const TARGET_MS = 100;

function createPacer() {
  const host = new FakeVmHost();
  const clock = new ManualClock(1_000);
  const logger = createLogger({ name: 'test', level: 'silent' });
  const pacer = new FillerPacer(host, new EventLog({ logger, now: () => 0 }), clock);
  const runs = new RunTable();
  const serving = { taskId: 's.0.0.0', run: 1, fills: false, latencyTargetMs: TARGET_MS };
  runs.setAttributes({ ...serving, pressure: 0 });
  for (const [taskId, pressure] of Object.entries({ 'light.0.0.0': 0.01, 'heavy.0.0.0': 1 })) {
    runs.setAttributes({ taskId, run: 1, fills: true, latencyTargetMs: null, pressure });
  }
  const adjustAt = (latencyMs: number): Record<string, number> => {
    const running = ['s.0.0.0', 'light.0.0.0', 'heavy.0.0.0'].map((taskId) => ({
      taskId,
      run: 1,
      checkpoint: '',
      percent: 0,
      reading: taskId === 's.0.0.0' ? latencyMs : 1_000,
    }));
    clock.advance(700);
    runs.apply({ running, ended: [] }, clock.now(), clock.now());
    pacer.adjust(runs, CALL);
    const paces = [...runs.entries.values()].map((entry) => [entry.taskId, entry.pacePercent]);
    return Object.fromEntries(paces) as Record<string, number>;
  };
  return { adjustAt, pacer };
}

test('slows a filler task with high pressure and leaves one with low pressure at full pace', () => {
  const { adjustAt } = createPacer();
  const paces = adjustAt(TARGET_MS * 1.5);
  assert.ok((paces['heavy.0.0.0'] ?? 100) < 50);
  assert.equal(adjustAt(TARGET_MS * 0.6)['light.0.0.0'], 100);
});

test('suspends all filler tasks while a serving task stays above its latency target', () => {
  const { adjustAt } = createPacer();
  adjustAt(TARGET_MS * 2);
  adjustAt(TARGET_MS * 2);
  const paces = adjustAt(TARGET_MS * 2);
  assert.equal(paces['light.0.0.0'], 0);
  assert.equal(paces['heavy.0.0.0'], 0);
});

test('raises the pace step by step once latency is well below the target', () => {
  const { adjustAt, pacer } = createPacer();
  adjustAt(TARGET_MS * 2);
  const first = adjustAt(TARGET_MS * 0.2)['heavy.0.0.0'] ?? 0;
  const second = adjustAt(TARGET_MS * 0.2)['heavy.0.0.0'] ?? 0;
  assert.ok(first < second && second < 100);
  assert.ok((pacer.allowance ?? 0) < 1);
});

test('lets filler tasks with low pressure work while a serving task is near its target without them', () => {
  const { adjustAt } = createPacer();
  adjustAt(TARGET_MS * 2);
  adjustAt(TARGET_MS * 2);
  const paces = adjustAt(TARGET_MS * 0.8);
  assert.equal(paces['light.0.0.0'], 100);
  assert.ok((paces['heavy.0.0.0'] ?? 100) < 25);
});

test('leaves half of the margin of a serving task to its own load', () => {
  const { adjustAt, pacer } = createPacer();
  adjustAt(TARGET_MS * 2);
  adjustAt(TARGET_MS * 2);
  for (let time = 0; time < 10; time += 1) {
    adjustAt(TARGET_MS * 0.81 * Math.exp(pacer.allowance ?? 0));
  }
  assert.ok((pacer.allowance ?? 0) > 0);
  assert.ok(0.81 * Math.exp(pacer.allowance ?? 0) < 0.91);
});
