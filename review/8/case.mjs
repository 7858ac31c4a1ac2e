/**
 * Steps that wait for a lost minion take all calls for advice.
 */
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Adviser } from '../lib-2/adviser.mjs';
import { HOST } from '../lib-2/deployment.mjs';
import { playLostLabel } from '../lib-2/lost-label.mjs';
import { runCase } from '../lib-2/run-case.mjs';

const ADVICE = { decide_ms: 100, each_ms: 10, valid_ms: 3_000 };
/** Both queues have the same policy, so that neither is more urgent. */
const POLICY = {
  service: 'printing',
  slo_ms: 60_000,
  priority: 1,
  max_attempts: 3,
  slack_factor: 2,
  advice: ADVICE,
};

const CONFIGURATION = {
  version: 1,
  routes: ['labelled', 'plain'].map((name) => ({
    name,
    host: HOST,
    prefix: `/${name}/`,
    ...POLICY,
  })),
  services: [{ name: 'printing', admission_check: true }],
  limits: {},
};

await runCase(path.dirname(fileURLToPath(import.meta.url)), (deployment) =>
  playLostLabel(deployment, {
    configuration: CONFIGURATION,
    labelledJobs: 40,
    intervalMs: 800,
    plainEvery: 5,
    adviser: new Adviser(ADVICE),
  }),
);
