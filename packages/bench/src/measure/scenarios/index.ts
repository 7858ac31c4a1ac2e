/**
 * All measured scenarios, by name.
 */
import type { Scenario } from '../scenario.js';
import { batchFlood } from './batch-flood.js';
import { cancelWave } from './cancel-wave.js';
import { changeSlopes } from './change-slopes.js';
import { failingWorker } from './failing-worker.js';
import { heartbeatSlopes } from './heartbeat-slopes.js';
import { impossibleJobs } from './impossible-jobs.js';
import { noisyWaves } from './noisy-waves.js';
import { recovery } from './recovery.js';
import { regionCut } from './region-cut.js';
import { slopes } from './slopes.js';
import { startRate } from './start-rate.js';
import { steadyMix } from './steady-mix.js';
import { tableOutage } from './table-outage.js';
import { targetChurn } from './target-churn.js';
import { taskSlopes } from './task-slopes.js';
import { teamSlopes } from './team-slopes.js';
import { urgentFlood } from './urgent-flood.js';
import { wrongSizes } from './wrong-sizes.js';

export const SCENARIOS: Scenario[] = [
  steadyMix,
  batchFlood,
  urgentFlood,
  noisyWaves,
  wrongSizes,
  failingWorker,
  impossibleJobs,
  cancelWave,
  targetChurn,
  regionCut,
  tableOutage,
  startRate,
  slopes,
  heartbeatSlopes,
  teamSlopes,
  changeSlopes,
  taskSlopes,
  recovery,
];
