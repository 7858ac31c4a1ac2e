/**
 * Stands for jobs that can never run, sent again and again with the higher urgency: renders that fit on no
 * VM and reprints that always fail. Shows what they cost the work that can run.
 */
import { sleep } from '@figjunction/time';
import { submitJobs } from '../batch-load.js';
import { historiesOf, repetitionFigures, startWaits } from '../execution-figures.js';
import { withMeasuredCluster } from '../measured-cluster.js';
import type { Scenario } from '../scenario.js';
import { IMPOSSIBLE_KIND, OVERNIGHT_KIND, URGENT_KIND } from '../workload.js';

const AGENTS = 4;
const DURATION_MS = 25_000;
const FINISH_MS = 10_000;
const ORDINARY = { tasksPerJob: 4, intervalMs: 500, taskMs: 2_000 };
const IMPOSSIBLE = { tasksPerJob: 20, intervalMs: 250 };
const FAILING = { tasksPerJob: 5, intervalMs: 1_000 };

export const impossibleJobs: Scenario = {
  name: 'impossible-jobs',
  summary: 'urgent jobs that fit nowhere or always fail, beside ordinary reprints',
  run: (run) =>
    withMeasuredCluster(
      {
        run,
        cluster: { agents: AGENTS },
        workload: { instances: 0, teams: ['banquet', 'studio', 'school'] },
      },
      async (cluster) => {
        await cluster.platformControl.resetStats();
        const submit = (
          label: string,
          wave: { team: string; kind: string; parameters: Record<string, string> },
          { tasksPerJob, intervalMs }: { tasksPerJob: number; intervalMs: number },
        ) =>
          submitJobs({
            cluster,
            label,
            waves: [{ ...wave, tasksPerJob }],
            intervalMs,
            durationMs: DURATION_MS,
          });
        const ordinaryParameters = { durationMs: String(ORDINARY.taskMs) };
        const failing = { durationMs: '500', fails: 'true' };
        const [ordinary, impossible, broken] = await Promise.all([
          submit(
            'ordinary',
            { team: 'banquet', kind: OVERNIGHT_KIND, parameters: ordinaryParameters },
            ORDINARY,
          ),
          submit('giant', { team: 'studio', kind: IMPOSSIBLE_KIND, parameters: {} }, IMPOSSIBLE),
          submit('broken', { team: 'school', kind: URGENT_KIND, parameters: failing }, FAILING),
        ]);
        await sleep(FINISH_MS);
        const log = await cluster.readExecutionLog();
        const stats = await cluster.platformControl.readStats();
        const histories = historiesOf(log, [OVERNIGHT_KIND]);
        const brokenHistories = historiesOf(log, [URGENT_KIND]);
        const { completedTasks = 0 } = repetitionFigures(histories);
        return {
          load: {
            ordinaryTasks: ordinary.acceptedTasks,
            impossibleTasks: impossible.acceptedTasks,
            failingTasks: broken.acceptedTasks,
          },
          figures: {
            ...startWaits(histories, ordinary.submittedAtMs).figures('ordinaryStart'),
            ordinaryCompletedFraction: completedTasks / Math.max(1, ordinary.acceptedTasks),
            impossibleStarts: historiesOf(log, [IMPOSSIBLE_KIND]).size,
            failingStarts: [...brokenHistories.values()].reduce((sum, one) => sum + one.starts, 0),
            transactions: stats.transactions,
            rowsWritten: stats.rowsWritten,
            conflicts: stats.conflicts,
          },
        };
      },
    ),
};
