import assert from 'node:assert/strict';
import { spawn } from 'node:child_process';
import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { after, test } from 'node:test';
import { HttpClient } from '@figjunction/http';
import { ProcessHarness } from './process-harness.js';
import { waitUntil } from './wait-until.js';

const PLATFORM_FILE = fileURLToPath(new URL('../platform-main.js', import.meta.url));
const HARNESS_FILE = new URL('./process-harness.js', import.meta.url).href;
const harness = new ProcessHarness();
const client = new HttpClient();

after(async () => {
  client.close();
  await harness.close();
});

function isAlive(pid: number): boolean {
  try {
    process.kill(pid, 0);
    return true;
  } catch {
    return false;
  }
}

test('a process that ends before it is ready is reported with its output', async () => {
  const specification = { name: 'broken', file: PLATFORM_FILE, arguments: ['--no-such-flag'] };
  await assert.rejects(harness.start(specification), /broken ended with 1[\s\S]*no-such-flag/u);
});

test('a paused process answers only after it continues', async () => {
  const platform = await harness.start({ name: 'platform', file: PLATFORM_FILE });
  const stats = `${platform.address}/control/stats`;
  platform.pause();
  await assert.rejects(client.request(stats, { timeoutMs: 200 }));
  platform.continue();
  assert.equal((await client.request(stats)).status, 200);
  assert.deepEqual(await platform.terminate(), { code: 0, signal: null });
});

test('closing kills paused processes and removes folders', async () => {
  const own = new ProcessHarness();
  const folder = own.createFolder();
  const platform = await own.start({ name: 'platform', file: PLATFORM_FILE });
  platform.pause();
  await own.close();
  assert.equal(isAlive(platform.pid), false);
  assert.equal(existsSync(folder), false);
});

const ENDINGS = [
  { name: 'Ctrl-C', tail: 'setInterval(() => {}, 1000);', signal: 'SIGINT' as const },
  { name: 'an uncaught error', tail: 'throw new Error("test");', signal: null },
];

for (const { name, tail, signal } of ENDINGS) {
  test(`${name} leaves no process behind`, async () => {
    const script = `
      import { ProcessHarness } from ${JSON.stringify(HARNESS_FILE)};
      const harness = new ProcessHarness();
      const started = await harness.start({ name: 'p', file: ${JSON.stringify(PLATFORM_FILE)} });
      console.log('pid=' + started.pid);
      ${tail}`;
    const parent = spawn(process.execPath, ['--input-type=module', '-e', script]);
    let output = '';
    parent.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const pid = Number(
      (await waitUntil(() => /pid=(?<pid>\d+)\n/u.exec(output)))?.groups?.pid ?? 0,
    );
    if (signal !== null) {
      parent.kill(signal);
    }
    await waitUntil(() => !isAlive(pid), { what: 'the child has ended' });
  });
}
