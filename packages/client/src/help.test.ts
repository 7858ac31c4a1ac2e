/**
 * Guards against commands whose help shows no example, or one with a file that does not exist.
 */
import assert from 'node:assert/strict';
import { existsSync } from 'node:fs';
import path from 'node:path';
import { mock, test } from 'node:test';
import { fileURLToPath } from 'node:url';
import { TestTerminal } from './client-fixture.test.js';
import { createCommands } from './commands/index.js';
import { ExitCode } from './exit-code.js';
import { runClient } from './run-client.js';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));
const CONTEXT = { terminal: new TestTerminal(), environment: {} };

async function helpOf(words: string[]): Promise<string> {
  // The parser of the command line writes its help to the console itself.
  const log = mock.method(console, 'log', () => {});
  const exitCode = await runClient([...words, '--help'], CONTEXT);
  const text = log.mock.calls.map(({ arguments: [line] }) => String(line)).join('\n');
  log.mock.restore();
  assert.equal(exitCode, ExitCode.Success);
  return text;
}

const names = createCommands(CONTEXT).map(({ command }) => String(command).split(' ')[0] ?? '');

for (const words of [[], ...names.map((name) => [name])]) {
  test(`the help of "${['figjunction', ...words].join(' ')}" has examples with files that exist`, async () => {
    const examples = (await helpOf(words)).split('Examples:')[1] ?? '';
    assert.match(examples, new RegExp(`figjunction ${words.join(' ')}`, 'u'));
    for (const [file] of examples.matchAll(/examples\/[\w-]+\.jsonc/gu)) {
      assert.ok(existsSync(path.join(ROOT, file)), file);
    }
  });
}
