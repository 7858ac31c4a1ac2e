/**
 * Stands for the hour before service, when one chain of hotels sends label requests at several times the
 * capacity of the service. Shows what the other teams and the other urgency class keep, and how long the
 * admitted requests take.
 */
import { DEFAULT_LOCATIONS } from '@figjunction/test-support';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { INTERACTIVE_CLASS, URGENT_CLASS } from '../workload.js';

/** One data centre, so that locality does not set instances apart and the capacity is well defined. */
const ONE_DATA_CENTRE = DEFAULT_LOCATIONS.slice(0, 1);
const AGENTS = 4;
const INSTANCES = 4;
const SLOTS = 4;
const SERVICE_MEDIAN_MS = 50;
const MILLISECONDS_PER_SECOND = 1_000;
const CAPACITY_PER_SECOND = (INSTANCES * SLOTS * MILLISECONDS_PER_SECOND) / SERVICE_MEDIAN_MS;
const QUIET_RATE = CAPACITY_PER_SECOND * 0.1;
const FLOOD_RATE = CAPACITY_PER_SECOND * 3;
const QUIET_MS = 8_000;
const FLOOD_MS = 15_000;
const TIMEOUT_MS = 1_000;

export const urgentFlood: Scenario = {
  name: 'urgent-flood',
  summary: 'one team sends label requests at three times the capacity of the service',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: {
          agents: AGENTS,
          entryLocations: ONE_DATA_CENTRE,
          agentLocations: ONE_DATA_CENTRE,
          workerArguments: [`--service-median-ms=${SERVICE_MEDIAN_MS}`],
        },
        workload: {
          instances: INSTANCES,
          teams: ['chain', 'hotel', 'school'],
          slotsPerInstance: SLOTS,
          timeoutMs: TIMEOUT_MS,
        },
      },
      async (cluster) => {
        const quietLoad = {
          cluster,
          team: 'hotel',
          ratePerSecond: QUIET_RATE,
          urgency: INTERACTIVE_CLASS,
        };
        const rushLoad = { ...quietLoad, team: 'school', urgency: URGENT_CLASS };
        const durationMs = QUIET_MS;
        const [quiet, quietRush] = await Promise.all([
          loadService({ ...quietLoad, label: 'quiet', durationMs, seed: run.seed }),
          loadService({ ...rushLoad, label: 'quiet-rush', durationMs, seed: run.seed + 1 }),
        ]);
        const [flood, other, rush] = await Promise.all([
          loadService({
            ...quietLoad,
            label: 'flood',
            team: 'chain',
            ratePerSecond: FLOOD_RATE,
            durationMs: FLOOD_MS,
            seed: run.seed + 2,
          }),
          loadService({ ...quietLoad, label: 'other', durationMs: FLOOD_MS, seed: run.seed + 3 }),
          loadService({ ...rushLoad, label: 'rush', durationMs: FLOOD_MS, seed: run.seed + 4 }),
        ]);
        const quietP99 = quiet.latency.percentileMs(99);
        const floodP99 = flood.latency.percentileMs(99);
        return {
          load: {
            capacityPerSecond: CAPACITY_PER_SECOND,
            floodPerSecond: FLOOD_RATE,
            otherPerSecond: QUIET_RATE,
            timeoutMs: TIMEOUT_MS,
          },
          figures: {
            ...loadFigures('quiet', quiet),
            ...loadFigures('quietRush', quietRush),
            ...loadFigures('flood', flood),
            ...loadFigures('otherTeam', other),
            ...loadFigures('otherClass', rush),
            floodP99OverQuiet: quietP99 && floodP99 ? floodP99 / quietP99 : null,
            generatorDelayMs: flood.sendDelayMaximumMs,
          },
        };
      },
    ),
};
