import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import path from 'node:path';
import { after, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { ProcessHarness } from '@figjunction/test-support';
import type { ManagedProcess } from '@figjunction/test-support';

const BINARY = fileURLToPath(new URL('../bin/figjunctiond.js', import.meta.url));
const NOBODY = 'http://127.0.0.1:1';
const USAGE_TIMEOUT_MS = 20_000;

const harness = new ProcessHarness();
after(() => harness.close());
const folder = harness.createFolder();

function writeSettings(name: string, fields: object): string {
  const file = path.join(folder, name);
  const common = {
    location: { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' },
    platformAddress: NOBODY,
    sharedToken: 'shared-token-of-the-test',
  };
  writeFileSync(file, JSON.stringify({ ...common, ...fields }));
  return file;
}

const ENTRY_FILE = writeSettings('entry.jsonc', { entryId: 'entry-1' });
const AGENT_FILE = writeSettings('agent.jsonc', { agentId: 'vm-1', workerAddress: NOBODY });

function start(role: string, settings: string, environment = {}): Promise<ManagedProcess> {
  const list = [role, '--settings', settings];
  return harness.start({ name: role, file: BINARY, arguments: list, environment });
}

for (const [role, settings] of [
  ['entry', ENTRY_FILE],
  ['agent', AGENT_FILE],
] as const) {
  test(`the ${role} stops with code 0 and later signals do not cut its stop short`, async () => {
    const running = await start(role, settings);
    running.signal('SIGINT');
    running.signal('SIGTERM');
    running.signal('SIGINT');
    assert.deepEqual(await running.terminate(), { code: 0, signal: null });
    assert.ok(running.output.some((line) => line.includes('"msg":"stopped"')));
  });
}

test('an entry without the platform listens, says what it waits for and names no token', async () => {
  const entry = await start('entry', ENTRY_FILE, { FIGJUNCTION_ENTRY_ID: 'entry-7' });
  await entry.terminate();
  const output = entry.output.join('\n');
  assert.match(output, /"name":"entry-7".*waiting for a configuration/u);
  assert.doesNotMatch(output, /shared-token-of-the-test/u);
});

const FAULT_CASES = [
  { fault: 'no command', list: [], code: 2, line: /name what to run: entry or agent/u },
  { fault: 'an unknown command', list: ['enter'], code: 2, line: /Unknown argument: enter/u },
  { fault: 'an unknown flag', list: ['entry', '--fast'], code: 2, line: /Unknown argument: fast/u },
  {
    fault: 'a missing settings file',
    list: ['entry', '--settings', '/nowhere.jsonc'],
    code: 2,
    line: /\/nowhere\.jsonc: found an unreadable file/u,
  },
  {
    fault: 'settings of the other role',
    list: ['agent', '--settings', ENTRY_FILE],
    code: 2,
    line: /entryId: found unknown field "entryId"; allowed: the fields agentId, /u,
  },
  {
    fault: 'a port that cannot be bound',
    list: ['entry', '--settings', ENTRY_FILE, '--host', '203.0.113.1'],
    code: 1,
    line: /EADDRNOTAVAIL/u,
  },
];

for (const { fault, list, code, line } of FAULT_CASES) {
  test(`ends with code ${code} and a plain reason on ${fault}`, () => {
    const { status, stderr } = spawnSync(process.execPath, [BINARY, ...list], {
      encoding: 'utf8',
      timeout: USAGE_TIMEOUT_MS,
    });
    assert.equal(status, code, stderr);
    assert.match(stderr, line);
    assert.doesNotMatch(stderr, /\n\s+at /u, 'a stack trace tells an operator nothing');
  });
}
