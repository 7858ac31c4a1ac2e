/**
 * Guards against a series of failed calls, one for each pooled connection, after the connections to the platform's
 * services have fallen silent.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FakePlatform, TcpRelay, createPlatformServer } from '@figjunction/test-support';
import { HttpTableService } from './http-table-service.js';

const CALLS = 6;
/** Long enough for a new connection on a busy machine. */
const TIMEOUT_MS = 2_000;

test('fails one read of the table alone after the connections to it have fallen silent', async () => {
  const server = createPlatformServer({ platform: new FakePlatform() });
  const relay = new TcpRelay({ targetAddress: await server.listen() });
  const table = new HttpTableService({ address: await relay.listen(), timeoutMs: TIMEOUT_MS });
  try {
    await Promise.all(Array.from({ length: CALLS }, () => table.read(['a'])));
    relay.silenceOpen();
    const answered: boolean[] = [];
    for (let call = 0; call < CALLS; call += 1) {
      answered.push(await isAnswered(table.read(['a'])));
    }
    assert.deepEqual(answered, [false, ...Array.from({ length: CALLS - 1 }, () => true)]);
  } finally {
    table.close();
    await relay.close();
    server.closeNow();
    await server.close();
  }
});

function isAnswered(call: Promise<unknown>): Promise<boolean> {
  return call.then(
    () => true,
    () => false,
  );
}
