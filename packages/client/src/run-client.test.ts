import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, afterEach, beforeEach, test } from 'node:test';
import { HttpServer, readJson, sendJson } from '@figjunction/http';
import { ExitCode } from './exit-code.js';
import { runClient } from './run-client.js';
import { Terminal } from './terminal.js';

const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' };
const VALID_FILE =
  '{"urgencyClasses": [{"name": "now", "rank": 0, "guaranteedShare": 0.5}], "approvedProposals": []}';

/** Keeps what the client writes and answers its questions. */
class TestTerminal extends Terminal {
  output = '';

  errors = '';

  constructor(private readonly answer: string | null = null) {
    super();
  }

  override print(text: string): void {
    this.output += `${text}\n`;
  }

  override report(text: string): void {
    this.errors += `${text}\n`;
  }

  override progress(): void {}

  override isInteractive(): boolean {
    return this.answer !== null;
  }

  override ask(): Promise<string> {
    return Promise.resolve(this.answer ?? '');
  }

  override readInput(): Promise<string> {
    return Promise.resolve(VALID_FILE);
  }
}

interface CannedAnswer {
  status: number;
  body: unknown;
}

/** Answers of the fake entry by method and path; requests are kept. */
let answers: Record<string, CannedAnswer>;
let received: { call: string; body: unknown }[];
let server: HttpServer;
let address: string;

const folder = mkdtempSync(path.join(tmpdir(), 'figjunction-client-'));
const file = path.join(folder, 'file.jsonc');
writeFileSync(file, VALID_FILE);
after(() => rmSync(folder, { recursive: true }));

beforeEach(async () => {
  received = [];
  const status = statusWith([{ revision: 7, confirmed: true }]);
  answers = {
    'POST /v1/configuration/plan': {
      status: 200,
      body: { currentRevision: 6, differences: [], warnings: ['locked out'] },
    },
    'POST /v1/configuration': { status: 200, body: { revision: 7 } },
    'GET /v1/status': { status: 200, body: status },
  };
  server = new HttpServer({
    routes: ['GET', 'POST', 'DELETE'].map((method) => ({
      method,
      pattern: /^(?<path>.*)$/u,
      async handle({ request, response, parameters }): Promise<void> {
        const call = `${method} ${parameters.path}`;
        received.push({ call, body: method === 'POST' ? await readJson(request, 1e7) : null });
        const answer = answers[call] ?? { status: 404, body: { code: 'not-found', message: call } };
        sendJson(response, answer.status, answer.body);
      },
    })),
  });
  address = await server.listen();
});

afterEach(async () => {
  server.closeNow();
  await server.close();
});

function statusWith(agents: { revision: number; confirmed: boolean }[]): unknown {
  const entry = { entryId: 'entry-1', address: '', location: LOCATION, waitingFor: [] };
  return {
    answeredBy: 'entry-1',
    revision: 7,
    entries: [{ ...entry, revision: 7, confirmed: true }],
    agents: agents.map((agent, index) => ({ agentId: `vm-${index + 1}`, ...agent })),
    absent: [{ name: 'vm-9', revision: 6, silentMs: 40_000 }],
  };
}

async function run(
  commandLine: string[],
  { terminal = new TestTerminal(), addresses = address, token = 'token' } = {},
): Promise<{ exitCode: ExitCode; output: string; errors: string }> {
  const environment = { FIGJUNCTION_ADDRESS: addresses, FIGJUNCTION_TOKEN: token };
  const exitCode = await runClient(commandLine, { terminal, environment });
  return { exitCode, output: terminal.output, errors: terminal.errors };
}

interface FailureCase {
  fault: string;
  answer: CannedAnswer;
  exitCode: ExitCode;
  line: RegExp;
}

const FAILURE_CASES: FailureCase[] = [
  {
    fault: 'an unknown token',
    answer: { status: 401, body: { code: 'unauthenticated', message: 'the token is not known' } },
    exitCode: ExitCode.NotAllowed,
    line: /^figjunction: the token is not known; set FIGJUNCTION_TOKEN .*\n$/u,
  },
  {
    fault: 'a token of a team',
    answer: { status: 403, body: { code: 'forbidden', message: 'this needs an operator' } },
    exitCode: ExitCode.NotAllowed,
    line: /^figjunction: this needs an operator; use the token of an operator .*\n$/u,
  },
  {
    fault: 'a table outage',
    answer: { status: 503, body: { code: 'unavailable', message: 'the table is unavailable' } },
    exitCode: ExitCode.Unavailable,
    line: /^figjunction: the table is unavailable; see "figjunction status" .*\n$/u,
  },
  {
    fault: 'an unknown result',
    answer: { status: 504, body: { code: 'outcome-unknown', message: 'it may be applied' } },
    exitCode: ExitCode.Unknown,
    line: /^figjunction: it may be applied; see "figjunction history" .*\n$/u,
  },
  {
    fault: 'an answer without JSON fields',
    answer: { status: 500, body: null },
    exitCode: ExitCode.Failed,
    line: /^figjunction: the entry answered with status 500\n$/u,
  },
];

async function checkFailure({ answer, exitCode, line }: FailureCase): Promise<void> {
  answers['POST /v1/configuration'] = answer;
  const result = await run(['apply', file, '--base-revision', '6']);
  assert.equal(result.exitCode, exitCode);
  assert.match(result.errors, line);
  assert.equal(result.output, '');
}

for (const failure of FAILURE_CASES) {
  test(`ends with code ${failure.exitCode} and one line on ${failure.fault}`, () =>
    checkFailure(failure));
}

const USAGE_CASES: { fault: string; commandLine: string[]; token?: string }[] = [
  { fault: 'no command', commandLine: [] },
  { fault: 'an unknown command', commandLine: ['aply', 'x'] },
  { fault: 'an unknown flag', commandLine: ['status', '--fast'] },
  { fault: 'an unknown format', commandLine: ['status', '--output', 'xml'] },
  { fault: 'an unknown subject', commandLine: ['explain', 'cow', '1'] },
  { fault: 'a revision that is no number', commandLine: ['history', 'six'] },
  { fault: 'a question that nobody can answer', commandLine: ['apply', file] },
];

for (const { fault, commandLine } of USAGE_CASES) {
  test(`ends with the code for usage on ${fault}`, async () => {
    const { exitCode, errors } = await run(commandLine);
    assert.equal(exitCode, ExitCode.Usage);
    assert.match(errors, /figjunction: .+; .+\n$/u);
  });
}

test('refuses an invalid file before any entry is asked, with every problem', async () => {
  const wrong = path.join(folder, 'wrong.jsonc');
  writeFileSync(wrong, '{"urgencyClasses": [], "service": []}');
  const { exitCode, errors } = await run(['apply', wrong, '--yes']);
  assert.equal(exitCode, ExitCode.InvalidFile);
  assert.equal(errors.trim().split('\n').length, 3);
  assert.deepEqual(received, []);
});

test('applies against the revision that was shown to the operator', async () => {
  const terminal = new TestTerminal('yes');
  const { exitCode, output, errors } = await run(['apply', file], { terminal });
  assert.equal(exitCode, ExitCode.Success);
  assert.match(errors, /warning: locked out/u);
  assert.match(output, /on all 2 known processes: entry-1, vm-1\nvm-9 is not heard of for 40 s/u);
  const applied = received.find(({ call }) => call === 'POST /v1/configuration');
  assert.equal((applied?.body as { baseRevision: number }).baseRevision, 6);
});

test('applies nothing when the operator says no', async () => {
  const { exitCode } = await run(['apply', file], { terminal: new TestTerminal('no') });
  assert.equal(exitCode, ExitCode.Declined);
  assert.ok(received.every(({ call }) => call !== 'POST /v1/configuration'));
});

test('lists the processes that did not confirm in time and ends with a code of its own', async () => {
  const status = statusWith([
    { revision: 7, confirmed: false },
    { revision: 6, confirmed: true },
  ]);
  answers['GET /v1/status'] = { status: 200, body: status };
  const { exitCode, output } = await run(['apply', '-', '--yes', '--wait-seconds', '0']);
  assert.equal(exitCode, ExitCode.NotConfirmed);
  assert.match(output, /vm-1 +has the revision but cannot confirm it\nvm-2 +has revision 6/u);
});

test('a conflict names the other revision, what it changed and what the file would change', async () => {
  const other = VALID_FILE.replace('0.5', '0.6');
  answers['POST /v1/configuration'] = {
    status: 409,
    body: { currentRevision: 7, currentAppliedBy: 'mehmet', currentBody: other },
  };
  answers['GET /v1/configuration'] = { status: 200, body: { revision: 6, body: VALID_FILE } };
  const { exitCode, errors } = await run(['apply', file, '--base-revision', '6']);
  assert.equal(exitCode, ExitCode.Conflict);
  assert.match(errors, /applied by mehmet, changed since revision 6:\n~ .*Share: 0.5 -> 0.6/u);
  assert.match(errors, /would change against revision 7:\n~ .*Share: 0.6 -> 0.5/u);
  assert.match(errors, /then apply with --base-revision 7\n$/u);
});

test('names the file of a job that the entry refuses, and the reason', async () => {
  const job = path.join(folder, 'job.jsonc');
  writeFileSync(job, '{"jobId": "j", "team": "t", "kind": "k", "tasks": [{"name": "a"}]}');
  answers['POST /v1/jobs'] = {
    status: 400,
    body: { code: 'invalid-input', message: 'kind: k is not in the configuration' },
  };
  const { exitCode, errors } = await run(['submit', job]);
  assert.equal(exitCode, ExitCode.InvalidFile);
  assert.match(errors, /job\.jsonc is no job: kind: k is not in the configuration; see /u);
});

test('asks the next address when an entry does not answer or has no table', async () => {
  const addresses = `http://127.0.0.1:1, ${address}`;
  const { exitCode, output } = await run(['status', '-o', 'json'], { addresses });
  assert.equal(exitCode, ExitCode.Success);
  assert.equal((JSON.parse(output) as { revision: number }).revision, 7);
});

test('without an answer from any entry, nothing was changed', async () => {
  const { exitCode, errors } = await run(['drain', 'vm-1'], { addresses: 'http://127.0.0.1:1' });
  assert.equal(exitCode, ExitCode.Unavailable);
  assert.match(errors, /ECONNREFUSED.*; check the address/u);
});

test('names what is missing when no address or token is set', async () => {
  assert.match((await run(['status'], { addresses: '' })).errors, /set FIGJUNCTION_ADDRESS/u);
  assert.match((await run(['status'], { token: '' })).errors, /set FIGJUNCTION_TOKEN/u);
});
