/**
 * Exit codes, error lines and the choice of an entry.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { ClientFixture } from './client-fixture.test.js';
import type { CannedAnswer } from './client-fixture.test.js';
import { ExitCode } from './exit-code.js';

let fixture: ClientFixture;

beforeEach(async () => {
  fixture = new ClientFixture();
  await fixture.start();
});

afterEach(() => fixture.stop());

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
  fixture.answers['POST /v1/configuration'] = answer;
  const result = await fixture.run(['apply', fixture.file, '--base-revision', '6']);
  assert.equal(result.exitCode, exitCode);
  assert.match(result.errors, line);
  assert.equal(result.output, '');
}

for (const failure of FAILURE_CASES) {
  test(`ends with code ${failure.exitCode} and one line on ${failure.fault}`, () =>
    checkFailure(failure));
}

/** Stands for the fixture's valid file, whose path is known only when a test runs. */
const VALID_FILE_PLACE = '<valid file>';

const USAGE_CASES: { fault: string; commandLine: string[] }[] = [
  { fault: 'no command', commandLine: [] },
  { fault: 'an unknown command', commandLine: ['aply', 'x'] },
  { fault: 'an unknown flag', commandLine: ['status', '--fast'] },
  { fault: 'an unknown format', commandLine: ['status', '--output', 'xml'] },
  { fault: 'an unknown subject', commandLine: ['explain', 'cow', '1'] },
  { fault: 'a revision that is no number', commandLine: ['history', 'six'] },
  { fault: 'a question that nobody can answer', commandLine: ['apply', VALID_FILE_PLACE] },
];

async function checkUsage(commandLine: string[]): Promise<void> {
  const words = commandLine.map((word) => (word === VALID_FILE_PLACE ? fixture.file : word));
  const { exitCode, errors } = await fixture.run(words);
  assert.equal(exitCode, ExitCode.Usage);
  assert.match(errors, /figjunction: .+; .+\n$/u);
}

for (const { fault, commandLine } of USAGE_CASES) {
  test(`ends with the code for usage on ${fault}`, () => checkUsage(commandLine));
}

test('names the file of a job that the entry refuses, and the reason', async () => {
  const job = fixture.write(
    'job.jsonc',
    '{"jobId": "j", "team": "t", "kind": "k", "tasks": [{"name": "a"}]}',
  );
  fixture.answers['POST /v1/jobs'] = {
    status: 400,
    body: { code: 'invalid-input', message: 'kind: k is not in the configuration' },
  };
  const { exitCode, errors } = await fixture.run(['submit', job]);
  assert.equal(exitCode, ExitCode.InvalidFile);
  assert.match(errors, /job\.jsonc is no job: kind: k is not in the configuration; see /u);
});

test('asks the next address when an entry does not answer or has no table', async () => {
  const addresses = `http://127.0.0.1:1, ${fixture.address}`;
  const { exitCode, output } = await fixture.run(['status', '-o', 'json'], { addresses });
  assert.equal(exitCode, ExitCode.Success);
  assert.equal((JSON.parse(output) as { revision: number }).revision, 7);
});

test('without an answer from any entry, nothing was changed', async () => {
  const { exitCode, errors } = await fixture.run(['drain', 'vm-1'], {
    addresses: 'http://127.0.0.1:1',
  });
  assert.equal(exitCode, ExitCode.Unavailable);
  assert.match(errors, /ECONNREFUSED.*; check the address/u);
});

test('names what is missing when no address or token is set', async () => {
  assert.match(
    (await fixture.run(['status'], { addresses: '' })).errors,
    /set FIGJUNCTION_ADDRESS/u,
  );
  assert.match((await fixture.run(['status'], { token: '' })).errors, /set FIGJUNCTION_TOKEN/u);
});
