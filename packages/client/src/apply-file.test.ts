/**
 * `figjunction apply`: questions, confirmation by all processes and conflicts.
 */
import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { ClientFixture, TestTerminal, VALID_FILE, statusWith } from './client-fixture.test.js';
import { ExitCode } from './exit-code.js';

let fixture: ClientFixture;

beforeEach(async () => {
  fixture = new ClientFixture();
  await fixture.start();
});

afterEach(() => fixture.stop());

test('refuses an invalid file before any entry is asked, with every problem', async () => {
  const wrong = fixture.write('wrong.jsonc', '{"urgencyClasses": [], "service": []}');
  const { exitCode, errors } = await fixture.run(['apply', wrong, '--yes']);
  assert.equal(exitCode, ExitCode.InvalidFile);
  assert.equal(errors.trim().split('\n').length, 3);
  assert.deepEqual(fixture.received, []);
});

test('applies against the revision that was shown to the operator', async () => {
  const terminal = new TestTerminal('yes');
  const { exitCode, output, errors } = await fixture.run(['apply', fixture.file], { terminal });
  assert.equal(exitCode, ExitCode.Success);
  assert.match(errors, /warning: locked out/u);
  assert.match(output, /on all 2 known processes: entry-1, vm-1\nvm-9 is not heard of for 40 s/u);
  const applied = fixture.received.find(({ call }) => call === 'POST /v1/configuration');
  assert.equal((applied?.body as { baseRevision: number }).baseRevision, 6);
});

test('applies nothing when the operator says no', async () => {
  const { exitCode } = await fixture.run(['apply', fixture.file], {
    terminal: new TestTerminal('no'),
  });
  assert.equal(exitCode, ExitCode.Declined);
  assert.ok(fixture.received.every(({ call }) => call !== 'POST /v1/configuration'));
});

test('lists the processes that did not confirm in time and ends with a code of its own', async () => {
  const status = statusWith([
    { revision: 7, confirmed: false },
    { revision: 6, confirmed: true },
  ]);
  fixture.answers['GET /v1/status'] = { status: 200, body: status };
  const { exitCode, output } = await fixture.run(['apply', '-', '--yes', '--wait-seconds', '0']);
  assert.equal(exitCode, ExitCode.NotConfirmed);
  assert.match(output, /vm-1 +has the revision but cannot confirm it\nvm-2 +has revision 6/u);
});

test('a conflict names the other revision, what it changed and what the file would change', async () => {
  const other = VALID_FILE.replace('0.5', '0.6');
  fixture.answers['POST /v1/configuration'] = {
    status: 409,
    body: { currentRevision: 7, currentAppliedBy: 'mehmet', currentBody: other },
  };
  fixture.answers['GET /v1/configuration'] = {
    status: 200,
    body: { revision: 6, body: VALID_FILE },
  };
  const { exitCode, errors } = await fixture.run(['apply', fixture.file, '--base-revision', '6']);
  assert.equal(exitCode, ExitCode.Conflict);
  assert.match(errors, /applied by mehmet, changed since revision 6:\n~ .*Share: 0.5 -> 0.6/u);
  assert.match(errors, /would change against revision 7:\n~ .*Share: 0.6 -> 0.5/u);
  assert.match(errors, /then apply with --base-revision 7\n$/u);
});
