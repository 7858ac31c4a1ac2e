/**
 * Guards against mapping a token to the wrong identity, and against accepting a token that the current
 * configuration no longer contains.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { test } from 'node:test';
import { operatorConfigurationSchema } from '@figjunction/config';
import { authenticate } from './authentication.js';
import type { EntryContext } from './entry-context.js';

const SHARED_TOKEN = 'shared-token-of-the-test';

function sha256(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function configurationOf(teamTokens: Record<string, string>, operatorTokens: string[]) {
  return operatorConfigurationSchema.parse({
    urgencyClasses: [{ name: 'interactive', rank: 0, guaranteedShare: 1 }],
    teams: Object.entries(teamTokens).map(([name, token]) => ({
      name,
      urgencies: ['interactive'],
      tokens: [{ sha256: sha256(token) }, { sha256: sha256(`${token}-2`) }],
    })),
    operators: operatorTokens.map((token, index) => ({
      name: `operator-${index}`,
      tokens: [{ sha256: sha256(token) }],
    })),
  });
}

function nameOf(configuration: ReturnType<typeof configurationOf> | null, token: string): string {
  const context = {
    settings: { sharedToken: SHARED_TOKEN },
    configuration: { current: () => (configuration === null ? null : { configuration }) },
  } as unknown as EntryContext;
  const request = { headers: { authorization: `Bearer ${token}` } } as IncomingMessage;
  try {
    const { role, name } = authenticate(context, request);
    return `${role} ${name}`;
  } catch {
    return 'nobody';
  }
}

test('a token maps to its identity in the current configuration', () => {
  const first = configurationOf({ kitchen: 'a', school: 'b' }, ['o', 'b']);
  const second = configurationOf({ kitchen: 'c' }, []);
  const cases: [ReturnType<typeof configurationOf> | null, string, string][] = [
    [first, 'a', 'caller kitchen'],
    [first, 'a-2', 'caller kitchen'],
    [first, 'b', 'operator operator-1'],
    [first, 'b-2', 'caller school'],
    [first, 'c', 'nobody'],
    [first, SHARED_TOKEN, 'nobody'],
    [second, 'a', 'nobody'],
    [second, 'c', 'caller kitchen'],
    [second, SHARED_TOKEN, 'operator bootstrap'],
    [null, SHARED_TOKEN, 'operator bootstrap'],
    [null, 'a', 'nobody'],
  ];
  for (const [configuration, token, expected] of cases) {
    assert.equal(nameOf(configuration, token), expected, `token ${token}`);
  }
});
