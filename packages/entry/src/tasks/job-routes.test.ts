/**
 * The HTTP API for jobs and runs: bad input, authentication and the separation of teams.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { after, before, test } from 'node:test';
import { HttpClient, HttpServer } from '@figjunction/http';
import type { HttpAnswer } from '@figjunction/http';
import {
  JOB_PARAMETERS_MAXIMUM,
  JOB_PARAMETER_LENGTH_MAXIMUM,
  NAME_LENGTH_MAXIMUM,
  RUNS_LIMIT_MAXIMUM,
} from '@figjunction/types';
import { configurationWith } from './testing/configuration-with.test.js';
import { TaskFixture } from './testing/task-fixture.test.js';
import { createJobRoutes } from './job-routes.js';

const TICK_MS = 10;

function token(name: string): { sha256: string }[] {
  return [{ sha256: createHash('sha256').update(`token-${name}`).digest('hex') }];
}

const fixture = new TaskFixture(
  configurationWith({
    teams: [
      { name: 'kitchen', urgencies: ['overnight'], tokens: token('kitchen') },
      { name: 'school', urgencies: ['urgent', 'overnight'], tokens: token('school') },
    ],
    operators: [{ name: 'ops', tokens: token('ops') }],
  }),
);
const entry = fixture.addEntry('entry-1');
const server = new HttpServer({ routes: createJobRoutes(entry.tasks) });
const client = new HttpClient();
let address = '';
let ticking: NodeJS.Timeout;

before(async () => {
  address = await server.listen();
  ticking = setInterval(() => {
    fixture.run(50).catch(() => {});
  }, TICK_MS);
});

after(async () => {
  clearInterval(ticking);
  client.close();
  server.closeNow();
  await server.close();
});

function call(method: string, path: string, caller: string, body?: unknown): Promise<HttpAnswer> {
  return client.request(`${address}${path}`, {
    method,
    headers: { authorization: `Bearer token-${caller}` },
    body: body === undefined ? null : JSON.stringify(body),
    timeoutMs: 5_000,
  });
}

function job(overrides: Record<string, unknown> = {}): Record<string, unknown> {
  return {
    jobId: 'menus-1',
    team: 'kitchen',
    kind: 'labels',
    tasks: [{ name: 'a', parameters: { menu: 'lunch' } }],
    ...overrides,
  };
}

const tooManyParameters = Object.fromEntries(
  Array.from({ length: JOB_PARAMETERS_MAXIMUM + 1 }, (_, index) => [`p${index}`, 'x']),
);
const tooLong = 'x'.repeat(JOB_PARAMETER_LENGTH_MAXIMUM + 1);

// Guards against limits that are stated in the shared shape and not enforced by the entry.
const refused: [string, string, unknown, number, RegExp][] = [
  ['an unknown token', 'nobody', job(), 401, /not known/u],
  ['the token of another team', 'school', job(), 403, /another team/u],
  ['a body that is not a job', 'kitchen', { jobId: 7 }, 400, /jobId/u],
  ['a job id with a dot', 'kitchen', job({ jobId: 'a.b' }), 400, /jobId/u],
  ['no tasks', 'kitchen', job({ tasks: [] }), 400, /tasks/u],
  [
    'two tasks of one name',
    'kitchen',
    job({ tasks: [{ name: 'a' }, { name: 'a' }] }),
    400,
    /tasks/u,
  ],
  ['an unknown kind', 'kitchen', job({ kind: 'saw' }), 400, /kind/u],
  ['an urgency of others', 'kitchen', job({ urgency: 'urgent' }), 403, /urgency/u],
  ['an unknown team', 'ops', job({ team: 'bakery' }), 400, /team/u],
  [
    'too many parameters',
    'kitchen',
    job({ tasks: [{ name: 'a', parameters: tooManyParameters }] }),
    400,
    /parameters/u,
  ],
  [
    'a parameter that is too long',
    'kitchen',
    job({ tasks: [{ name: 'a', parameters: { menu: tooLong } }] }),
    400,
    /parameters/u,
  ],
  [
    'a name that is too long',
    'kitchen',
    job({ jobId: 'x'.repeat(NAME_LENGTH_MAXIMUM + 1) }),
    400,
    /jobId/u,
  ],
  ['a field that does not exist', 'kitchen', job({ priority: 1 }), 400, /priority/u],
];

for (const [name, caller, body, status, message] of refused) {
  test(`a job is refused for ${name}`, async () => {
    const answer = await call('POST', '/v1/jobs', caller, body);
    assert.equal(answer.status, status);
    assert.match((JSON.parse(answer.body.toString()) as { message: string }).message, message);
  });
}

test('a job is stored, shown to its team and hidden from others', async () => {
  assert.equal((await call('POST', '/v1/jobs', 'kitchen', job())).status, 200);
  assert.equal((await call('POST', '/v1/jobs', 'kitchen', job())).status, 200);
  const changed = job({ tasks: [{ name: 'a', parameters: { menu: 'dinner' } }] });
  assert.equal((await call('POST', '/v1/jobs', 'kitchen', changed)).status, 409);
  assert.equal((await call('GET', '/v1/jobs/menus-1', 'kitchen')).status, 200);
  assert.equal((await call('GET', '/v1/jobs/menus-1', 'ops')).status, 200);
  assert.equal((await call('GET', '/v1/jobs/menus-1', 'school')).status, 404);
  assert.equal((await call('POST', '/v1/jobs/menus-1/cancel', 'school', {})).status, 404);
  assert.equal((await call('GET', '/v1/runs?team=kitchen', 'school')).status, 403);
});

test('two teams may use one job id', async () => {
  const shared = { jobId: 'shared-id' };
  assert.equal((await call('POST', '/v1/jobs', 'kitchen', job(shared))).status, 200);
  const other = job({ ...shared, team: 'school', tasks: [{ name: 'b' }] });
  assert.equal((await call('POST', '/v1/jobs', 'school', other)).status, 200);
  const answer = await call('GET', '/v1/jobs/shared-id', 'school');
  const { tasks } = JSON.parse(answer.body.toString()) as { tasks: { taskId: string }[] };
  assert.deepEqual(
    tasks.map(({ taskId }) => taskId),
    ['school.shared-id.b'],
  );
});

test('runs are listed by state and with a limit', async () => {
  const answer = await call('GET', '/v1/runs?state=pending&limit=1', 'kitchen');
  const { runs } = JSON.parse(answer.body.toString()) as { runs: unknown[] };
  assert.equal(runs.length, 1);
  assert.equal((await call('GET', '/v1/runs?state=lost', 'kitchen')).status, 400);
  assert.equal((await call('GET', '/v1/runs?limit=0', 'kitchen')).status, 400);
  const tooMany = `/v1/runs?limit=${RUNS_LIMIT_MAXIMUM + 1}`;
  assert.equal((await call('GET', tooMany, 'kitchen')).status, 400);
});

test('a cancelled job shows as cancelled and can be cancelled again', async () => {
  const first = await call('POST', '/v1/jobs/menus-1/cancel', 'kitchen', {});
  assert.deepEqual(JSON.parse(first.body.toString()), { jobId: 'menus-1', cancelled: 1 });
  const second = await call('POST', '/v1/jobs/menus-1/cancel', 'kitchen', {});
  assert.deepEqual(JSON.parse(second.body.toString()), { jobId: 'menus-1', cancelled: 0 });
  const shown = await call('GET', '/v1/jobs/menus-1', 'kitchen');
  const { counts } = JSON.parse(shown.body.toString()) as { counts: Record<string, number> };
  assert.deepEqual(counts, { cancelled: 1 });
});
