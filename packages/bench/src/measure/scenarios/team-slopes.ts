/**
 * Stands for the growth in teams: the same total of requests, spread over three numbers of teams with
 * quotas. Shows what a team costs an entry in processor time, memory, digest bytes and latency. The rate
 * of requests is the same at every size, so that the slope is that of the teams and not of their requests.
 */
import type { Cluster } from '@figjunction/test-support';
import { DigestSink } from '../digest-sink.js';
import { slopeFigures, mean } from '../line-fit.js';
import type { LoadResult } from '../load-generator.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import { processorMs, residentMegabytes } from '../process-usage.js';
import type { Figures, Scenario, ScenarioRun } from '../scenario.js';
import { loadService } from '../service-load.js';

const TEAM_COUNTS = [30, 90, 270];
/** One request a second of each team at the largest size. */
const REQUESTS_PER_SECOND = 270;
const AGENTS = 3;
const ENTRIES = 2;
const INSTANCES = 3;
const REQUESTS_PER_SECOND_OF_TEAM = 100;
const RUNNING_TASKS_OF_TEAM = 50;
const WARM_UP_MS = 2_000;
const MEASURED_MS = 6_000;
const DIGEST_MS = 4_000;
const PERCENT = 100;

export const teamSlopes: Scenario = {
  name: 'team-slopes',
  summary: 'cost of entries at three numbers of teams, and its growth per team',
  async run(run) {
    const costs: { size: number; figures: Figures }[] = [];
    for (const size of TEAM_COUNTS) {
      costs.push({ size, figures: await measureTeams(run, size) });
    }
    return {
      load: {
        teamCounts: TEAM_COUNTS.join(', '),
        requestsPerSecond: REQUESTS_PER_SECOND,
        entries: ENTRIES,
        agents: AGENTS,
      },
      figures: slopeFigures('Team', costs),
    };
  },
};

function measureTeams(run: ScenarioRun, count: number): Promise<Figures> {
  const teams = Array.from({ length: count }, (_value, index) => `team-${index + 1}`);
  return withMeasuredCluster(
    {
      run,
      cluster: { entries: ENTRIES, agents: AGENTS },
      workload: {
        instances: INSTANCES,
        teams,
        requestsPerSecond: REQUESTS_PER_SECOND_OF_TEAM,
        runningTasks: RUNNING_TASKS_OF_TEAM,
      },
    },
    async (cluster) => {
      await sendTraffic(cluster, run, teams, WARM_UP_MS);
      const pids = cluster.entries.map(({ pid }) => pid);
      const before = pids.map(processorMs);
      const { latency, endings, offered } = await sendTraffic(cluster, run, teams, MEASURED_MS);
      const usedMs = mean(pids.map((pid, index) => processorMs(pid) - (before[index] ?? 0)));
      const megabytes = mean(pids.map(residentMegabytes));
      return {
        entryPercentOfCore: (usedMs * PERCENT) / MEASURED_MS,
        entryMegabytes: megabytes,
        ...(await measureDigests(cluster, run, teams)),
        ...latency.figures('request'),
        requestsNotCompleted: offered - endings.completed,
      };
    },
  );
}

/** The sink joins after the other figures were taken, because it counts as an entry with shards. */
async function measureDigests(
  cluster: Cluster,
  run: ScenarioRun,
  teams: string[],
): Promise<Figures> {
  const sink = new DigestSink(cluster.entries[0]?.address ?? '');
  try {
    await sink.open();
    await sendTraffic(cluster, run, teams, DIGEST_MS);
    return {
      digestBytes: sink.bytesPerDigest(),
      teamsInDigest: sink.teamsPerDigest(),
    };
  } finally {
    await sink.close();
  }
}

function sendTraffic(
  cluster: Cluster,
  run: ScenarioRun,
  teams: string[],
  durationMs: number,
): Promise<LoadResult> {
  return loadService({
    cluster,
    label: 'teams',
    team: teams[0] ?? '',
    teams,
    ratePerSecond: REQUESTS_PER_SECOND,
    durationMs,
    seed: run.seed,
  });
}
