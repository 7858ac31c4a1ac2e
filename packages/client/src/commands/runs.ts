/**
 * `figjunction runs`: batch runs, filtered.
 */
import type { CommandModule } from 'yargs';
import { RUNS_LIMIT_DEFAULT, RUNS_LIMIT_MAXIMUM, TaskState } from '@figjunction/types';
import type { RunView } from '@figjunction/types';
import { connect, requireNumbers, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { requestJob, requestRuns } from '../job-requests.js';
import { formatTable } from '../table.js';

interface Flags extends CommonFlags {
  job: string | undefined;
  team: string | undefined;
  state: TaskState | undefined;
  limit: number;
}

export function createRunsCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'runs',
    describe: 'list batch runs and instances',
    builder: (command) =>
      command
        .option('job', { type: 'string', describe: 'only the runs of this job' })
        .option('team', { type: 'string', describe: 'only runs of this team' })
        .option('state', { choices: Object.values(TaskState), describe: 'only runs in this state' })
        .option('limit', {
          type: 'number',
          default: RUNS_LIMIT_DEFAULT,
          describe: `at most this many, up to ${RUNS_LIMIT_MAXIMUM}`,
        })
        .example('$0 runs --state held', 'what cannot run, and why')
        .example('$0 runs --job overnight-menus', 'the runs of one job'),
    async handler(flags): Promise<void> {
      requireNumbers(flags, ['limit']);
      const runs = await readRuns(context, flags);
      show(context, flags, { runs }, () => formatRuns(runs));
    },
  };
}

async function readRuns(context: ClientContext, flags: Flags): Promise<RunView[]> {
  const entry = connect(context, flags);
  const { job, team, state, limit } = flags;
  if (job !== undefined) {
    const { tasks } = await requestJob(entry, job, team);
    return tasks.filter((run) => state === undefined || run.state === state).slice(0, limit);
  }
  return (await requestRuns(entry, { team, state, limit })).runs;
}

function formatRuns(runs: RunView[]): string {
  return formatTable(
    ['run', 'kind', 'urgency', 'state', 'attempt', 'vm', 'failures', 'evictions', 'reason'],
    runs.map((run) => [
      run.taskId,
      run.kind,
      run.urgency,
      run.state,
      String(run.attempt),
      run.holder ?? '',
      String(run.failures),
      String(run.evictions),
      run.reason ?? '',
    ]),
    'no runs',
  );
}
