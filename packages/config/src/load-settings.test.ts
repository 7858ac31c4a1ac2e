import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { after, test } from 'node:test';
import { ConfigurationError } from './configuration-problem.js';
import { loadAgentSettings, loadEntrySettings } from './load-settings.js';
import type { SettingsSources } from './load-settings.js';

const folder = mkdtempSync(path.join(tmpdir(), 'figjunction-settings-'));
after(() => rmSync(folder, { recursive: true }));

const ENTRY_TEXT = `{
  // the first entry
  "entryId": "entry-1",
  "location": {"region": "marmara", "dataCentre": "istanbul", "rack": "r1"},
  "platformAddress": "http://127.0.0.1:9000",
  "sharedToken": "0123456789abcdef",
  "port": 7001
}`;

function fileWith(text: string): string {
  const file = path.join(folder, 'settings.jsonc');
  writeFileSync(file, text);
  return file;
}

function messageOf(sources: SettingsSources): string {
  try {
    loadEntrySettings(sources);
    return 'accepted';
  } catch (error) {
    assert.ok(error instanceof ConfigurationError);
    return error.message.replaceAll(folder, '');
  }
}

test('a flag overrides the environment, which overrides the file', () => {
  const settings = loadEntrySettings({
    file: fileWith(ENTRY_TEXT),
    environment: {
      FIGJUNCTION_PORT: '7002',
      FIGJUNCTION_RACK: 'r2',
      FIGJUNCTION_ADVERTISED_ADDRESS: 'http://192.0.2.1:80',
      FIGJUNCTION_PEERS: 'http://127.0.0.1:1, http://127.0.0.1:2',
      FIGJUNCTION_POLICY_GUARDS: 'false',
    },
    flags: { port: '7003', 'data-centre': 'bursa', 'advertised-address': 'http://192.0.2.7:7001' },
  });
  assert.equal(settings.port, 7003);
  assert.equal(settings.advertisedAddress, 'http://192.0.2.7:7001');
  assert.deepEqual(settings.location, { region: 'marmara', dataCentre: 'bursa', rack: 'r2' });
  assert.deepEqual(settings.peers, ['http://127.0.0.1:1', 'http://127.0.0.1:2']);
  assert.equal(settings.policy.guards, false);
  assert.equal(settings.policy.routing, true);
});

test('an agent can be set up from the environment alone', () => {
  const settings = loadAgentSettings({
    environment: {
      FIGJUNCTION_AGENT_ID: 'vm-1',
      FIGJUNCTION_REGION: 'marmara',
      FIGJUNCTION_DATA_CENTRE: 'istanbul',
      FIGJUNCTION_RACK: 'r1',
      FIGJUNCTION_PLATFORM_ADDRESS: 'http://127.0.0.1:9000',
      FIGJUNCTION_WORKER_ADDRESS: 'http://127.0.0.1:9001',
      FIGJUNCTION_SHARED_TOKEN: '0123456789abcdef',
    },
  });
  assert.equal(settings.agentId, 'vm-1');
  assert.equal(settings.advertisedAddress, null);
});

const FAULT_CASES: { fault: string; sources: SettingsSources; expected: string }[] = [
  {
    fault: 'a value of a variable that is not a number',
    sources: { file: fileWith(ENTRY_TEXT), environment: { FIGJUNCTION_PORT: 'many' } },
    expected:
      'environment variable FIGJUNCTION_PORT: port: found "many"; allowed: a value of type number',
  },
  {
    fault: 'a secret that is too short, which must not be shown',
    sources: { file: fileWith(ENTRY_TEXT), environment: { FIGJUNCTION_SHARED_TOKEN: 'short' } },
    expected:
      'environment variable FIGJUNCTION_SHARED_TOKEN: sharedToken: found a value that is not shown; allowed: a length of at least 16',
  },
  {
    fault: 'a file that does not exist',
    sources: { file: path.join(folder, 'missing.jsonc') },
    expected:
      "/missing.jsonc: found an unreadable file (ENOENT: no such file or directory, open '/missing.jsonc'); allowed: a readable file of JSON with comments",
  },
  {
    fault: 'a host name where an IP address belongs',
    sources: {
      file: fileWith(ENTRY_TEXT),
      flags: { 'platform-address': 'http://platform:9000' },
    },
    expected:
      'flag --platform-address: platformAddress: found "http://platform:9000"; allowed: use http://<ip>:<port>',
  },
  {
    fault: 'an advertised address that is no URL with an IP address',
    sources: { file: fileWith(ENTRY_TEXT), flags: { 'advertised-address': 'entry-1:7001' } },
    expected:
      'flag --advertised-address: advertisedAddress: found "entry-1:7001"; allowed: use http://<ip>:<port>',
  },
  ...['http://0.0.0.0:7001', 'http://192.0.2.256:7001', 'http://192.0.2.1:0'].map((address) => ({
    fault: `an advertised address to which nobody can connect: ${address}`,
    sources: {
      file: fileWith(ENTRY_TEXT),
      environment: { FIGJUNCTION_ADVERTISED_ADDRESS: address },
    },
    expected: `environment variable FIGJUNCTION_ADVERTISED_ADDRESS: advertisedAddress: found "${address}"; allowed: use http://<ip>:<port> with an IP address and a port that others can connect to`,
  })),
];

for (const { fault, sources, expected } of FAULT_CASES) {
  test(`refuses ${fault}`, () => {
    assert.equal(messageOf(sources), expected);
  });
}

test('reports unknown and missing fields of a file at once, with positions', () => {
  const file = fileWith('{\n  "entryid": "entry-1", "platformAddress": "http://127.0.0.1:9000"\n}');
  const message = messageOf({ file });
  assert.match(message, /settings\.jsonc:2:3: entryid: found unknown field "entryid"/u);
  assert.match(
    message,
    /settings\.jsonc:1:1: entryId: found nothing; allowed: a value of type string/u,
  );
  assert.match(message, /location: found nothing/u);
  assert.match(message, /sharedToken: found nothing/u);
});
