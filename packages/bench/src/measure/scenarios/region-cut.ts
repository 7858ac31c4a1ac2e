/**
 * A partition between the regions: the region without the store loses the platform and the other region's
 * entries and agents for a while. Bytes vanish and nothing closes; calls within a region go on.
 * Shows what callers of both regions see during the cut, and how long batch work takes to come back.
 */
import { ExecutionEvent } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { countEvents, historiesOf, repetitionFigures } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { loadFigures, loadService } from '../service-load.js';
import { OVERNIGHT_KIND } from '../workload.js';

const STORE_REGION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };
const OTHER_REGION = { region: 'ege', dataCentre: 'izmir', rack: 'izmir-1' };
const LOCATIONS = [STORE_REGION, OTHER_REGION];
const AGENTS = 4;
const INSTANCES = 4;
const RATE = 80;
const BEFORE_MS = 6_000;
const CUT_MS = 16_000;
const AFTER_MS = 16_000;
const TASKS = 24;
const TASK_DURATION_MS = 25_000;

export const regionCut: Scenario = {
  name: 'region-cut',
  summary: 'the region without the store loses the platform and the other region for 16 s',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: {
          entries: 2,
          agents: AGENTS,
          entryLocations: LOCATIONS,
          agentLocations: LOCATIONS,
          withPlatformRelays: true,
          withEntryRelays: true,
          withAgentRelays: true,
        },
        workload: { instances: INSTANCES, teams: ['hotel', 'banquet'] },
      },
      async (cluster) => {
        const clock = new SystemClock();
        const load = (label: string, entry: number, durationMs: number) =>
          loadService({
            cluster,
            label,
            team: 'hotel',
            ratePerSecond: RATE,
            durationMs,
            seed: run.seed + entry,
            entries: [entry],
          });
        const both = (label: string, durationMs: number) =>
          Promise.all([
            load(`${label}-store`, 0, durationMs),
            load(`${label}-other`, 1, durationMs),
          ]);
        const parameters = { durationMs: String(TASK_DURATION_MS) };
        await submitJobs({
          cluster,
          label: 'cut',
          waves: [{ team: 'banquet', kind: OVERNIGHT_KIND, tasksPerJob: TASKS, parameters }],
          intervalMs: 1,
          durationMs: 1,
        });
        const before = await both('before', BEFORE_MS);
        cluster.relays.cutRegion(OTHER_REGION.region);
        const during = await both('during', CUT_MS);
        cluster.relays.restoreRegions();
        const restoredAtMs = clock.now();
        const after = await both('after', AFTER_MS);
        await sleep(0);
        const log = await cluster.readExecutionLog();
        const resumes = log.filter(
          ({ event, atHostMs }) =>
            (event === ExecutionEvent.TaskResume || event === ExecutionEvent.TaskStart) &&
            atHostMs >= restoredAtMs,
        );
        const [storeBefore, otherBefore] = before;
        const [storeDuring, otherDuring] = during;
        const [storeAfter, otherAfter] = after;
        return {
          load: { requestsPerSecondAndRegion: RATE, cutMs: CUT_MS, agents: AGENTS, tasks: TASKS },
          figures: {
            ...loadFigures('storeBefore', storeBefore),
            ...loadFigures('otherBefore', otherBefore),
            ...loadFigures('storeDuring', storeDuring),
            ...loadFigures('otherDuring', otherDuring),
            ...loadFigures('storeAfter', storeAfter),
            ...loadFigures('otherAfter', otherAfter),
            suspended: countEvents(log, ExecutionEvent.TaskSuspend),
            firstBatchAfterMs: resumes[0] === undefined ? null : resumes[0].atHostMs - restoredAtMs,
            ...repetitionFigures(historiesOf(log, [OVERNIGHT_KIND])),
          },
        };
      },
    ),
};
