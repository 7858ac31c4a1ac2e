/**
 * `figjunction runs`: batch runs, filtered.
 */
import type { CommandModule } from 'yargs';
import { TaskState } from '@figjunction/types';
import { connect, requireNumbers, show } from '../client-context.js';
import type { ClientContext, CommonFlags } from '../client-context.js';
import { requestJob } from '../job-requests.js';
import type { RunView } from '../job-requests.js';
import { formatTable } from '../table.js';

interface Flags extends CommonFlags {
  job: string | undefined;
  team: string | undefined;
  state: TaskState | undefined;
  limit: number;
}

const DEFAULT_LIMIT = 100;

export function createRunsCommand(context: ClientContext): CommandModule<CommonFlags, Flags> {
  return {
    command: 'runs',
    describe: 'list batch runs and instances',
    builder: (command) =>
      command
        .option('job', { type: 'string', describe: 'only the runs of this job' })
        .option('team', { type: 'string', describe: 'only runs of this team' })
        .option('state', { choices: Object.values(TaskState), describe: 'only runs in this state' })
        .option('limit', { type: 'number', default: DEFAULT_LIMIT, describe: 'at most this many' })
        .example('$0 runs --state held', 'what cannot run, and why')
        .example('$0 runs --job overnight-1', 'the runs of one job'),
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
  const query = new URLSearchParams({ limit: String(limit) });
  if (team !== undefined) {
    query.set('team', team);
  }
  if (state !== undefined) {
    query.set('state', state);
  }
  return (await entry.call<{ runs: RunView[] }>('GET', `/v1/runs?${query}`)).runs;
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
