/**
 * Guards against estimating the same pressure for images with heavy and with light interference.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RandomSource } from '@figjunction/time';
import { addJob, addVm, createState, createStep } from './cell-fixture.js';
import { placeTasks } from './place.js';

const PRESSURE_BY_IMAGE: Record<string, number> = { heavy: 0.2, light: 0.005 };
const SERVING = { longRunning: true, latencyTargetMs: 100 };

test('distinguishes heavy from light images despite noise', () => {
  const state = createState();
  const vm = addVm(state);
  addJob(state, { id: 'serve', steps: [createStep(SERVING)] });
  for (const image of Object.keys(PRESSURE_BY_IMAGE)) {
    addJob(state, { id: image, steps: [createStep({ fills: true, image })] });
  }
  placeTasks(state, 0);
  const random = new RandomSource(11);
  for (let index = 0; index < 120; index += 1) {
    let logLatency = Math.log(20) + 0.1 * (random.fraction() - 0.5);
    const running = [...vm.runs.values()].map(({ task, run }) => {
      const cores = task.step.specification.fills ? 3 * random.fraction() : 0;
      const image = task.step.specification.image ?? '';
      logLatency += cores * (PRESSURE_BY_IMAGE[image] ?? 0);
      return { taskId: task.id, run, checkpoint: '', percent: 0, reading: cores * 1_000 };
    });
    const serving = running.find(({ taskId }) => taskId.startsWith('serve'));
    assert.ok(serving !== undefined);
    serving.reading = Math.exp(logLatency);
    state.interference.observe(vm, running, index * 500);
  }
  assert.ok(state.interference.getPressure('heavy') > 0.12);
  assert.ok(state.interference.getPressure('light') < 0.03);
});
