/**
 * Guards against stale state: late heartbeats, unreachable agents, older configurations, and entries that
 * disagree about the owner of a shard.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { OperatorConfiguration } from '@figjunction/config';
import { AgentState, HeartbeatReception, NO_BASE, SHARD_COUNT } from '@figjunction/types';
import type { AgentReport, KnownEntry } from '@figjunction/types';
import { AGENT_HEARTBEAT_TIMEOUT_MS, AgentDirectory } from './agent-directory.js';
import { CONFIRMATION_BOUND_MS, ConfigurationHolder } from './configuration-holder.js';
import { EntryListVersion } from './membership/entry-list-version.js';
import { PeerDirectory } from './peer-directory.js';

const NO_RESOURCES = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' };

function heartbeat(incarnation: number, sequence: number): AgentReport {
  return {
    agentId: 'vm-1',
    incarnation,
    sequence,
    state: AgentState.Serving,
    address: 'http://127.0.0.1:1',
    location: LOCATION,
    capacity: NO_RESOURCES,
    free: NO_RESOURCES,
    instances: [],
    tasks: [],
    usage: [],
    wantsWork: false,
    revision: 1,
    confirmed: true,
  };
}

function known(entryId: string): KnownEntry {
  return { entryId, address: `http://127.0.0.1/${entryId}`, location: LOCATION };
}

describe('AgentDirectory', () => {
  const cases = [
    { name: 'a newer heartbeat', incarnation: 2, sequence: 6, taken: true },
    { name: 'a repeated heartbeat', incarnation: 2, sequence: 5, taken: false },
    { name: 'a late heartbeat', incarnation: 2, sequence: 4, taken: false },
    { name: 'one of a newer incarnation', incarnation: 3, sequence: 1, taken: true },
    { name: 'one of an older incarnation', incarnation: 1, sequence: 99, taken: false },
  ];
  for (const { name, incarnation, sequence, taken } of cases) {
    it(`${taken ? 'takes' : 'drops'} ${name}`, () => {
      const directory = new AgentDirectory();
      directory.accept(heartbeat(2, 5), 0);
      assert.equal(directory.accept(heartbeat(incarnation, sequence), 1), taken);
    });
  }

  it('drops an agent without a heartbeat within the timeout', () => {
    const directory = new AgentDirectory();
    directory.accept(heartbeat(1, 1), 0);
    assert.equal(directory.dropUnreachable(AGENT_HEARTBEAT_TIMEOUT_MS).length, 0);
    assert.equal(directory.dropUnreachable(AGENT_HEARTBEAT_TIMEOUT_MS + 1).length, 1);
    assert.deepEqual(directory.serving(), []);
  });
});

describe('AgentDirectory with heartbeats', () => {
  const { agentId, state, revision, confirmed } = heartbeat(1, 1);
  const core = { agentId, state, revision, confirmed, incarnation: 1, entriesVersion: '' };

  it('rejects a full heartbeat with a missing section, as another version may send', () => {
    const directory = new AgentDirectory();
    const partial = { ...core, sequence: 1, base: NO_BASE, sections: { tasks: [] } };
    assert.throws(() => directory.receive(partial, 0), /lacks a section/u);
    assert.equal(directory.get(agentId), undefined);
  });

  it('does not refresh the heartbeat time when the base is missing', () => {
    const directory = new AgentDirectory();
    directory.accept(heartbeat(1, 1), 0);
    const change = { ...core, sequence: 3, base: 2, sections: {} };
    assert.equal(directory.receive(change, 1_000), HeartbeatReception.NeedsFull);
    assert.equal(directory.get(agentId)?.lastHeartbeatAt, 0);
  });
});

describe('EntryListVersion', () => {
  it('sends the list to an agent that has no list or a different one', () => {
    const entries = [known('a'), known('b')];
    const first = new EntryListVersion().updateFor(entries, '');
    assert.deepEqual(first?.entries, entries);
    const restarted = new EntryListVersion();
    assert.equal(restarted.updateFor(entries, first.version), null);
    const changed = restarted.updateFor(entries.slice(0, 1), first.version);
    assert.equal(changed?.entries.length, 1);
    assert.deepEqual(restarted.updateFor(entries, changed.version)?.version, first.version);
  });
});

describe('ConfigurationHolder', () => {
  const inForce = (revision: number): Parameters<ConfigurationHolder['accept']>[0] => ({
    revision,
    bodyHash: '',
    body: '',
    configuration: {} as OperatorConfiguration,
  });

  it('never reverts to an older revision', () => {
    const holder = new ConfigurationHolder();
    assert.equal(holder.accept(inForce(3)), true);
    assert.equal(holder.accept(inForce(2)), false);
    assert.equal(holder.accept(inForce(3)), false);
    assert.equal(holder.revision(), 3);
  });

  it('is unconfirmed once the bound has passed since the start of the read', () => {
    const holder = new ConfigurationHolder();
    holder.accept(inForce(1));
    holder.confirm(100);
    assert.equal(holder.isConfirmed(100 + CONFIRMATION_BOUND_MS - 1), true);
    assert.equal(holder.isConfirmed(100 + CONFIRMATION_BOUND_MS), false);
  });
});

describe('PeerDirectory', () => {
  it('assigns every shard to one owner on which all entries agree', () => {
    const entries = ['a', 'b', 'c'].map(known);
    const directories = entries.map((entry) => {
      const directory = new PeerDirectory({ ...entry });
      directory.setLive(entries);
      return directory;
    });
    for (let shard = 0; shard < SHARD_COUNT; shard += 1) {
      const owners = directories.filter((directory) => directory.ownsShard(shard));
      assert.equal(owners.length, 1, `shard ${shard}`);
    }
  });

  it('moves only the shards of an entry that left', () => {
    const entries = ['a', 'b', 'c'].map(known);
    const directory = new PeerDirectory(known('a'));
    directory.setLive(entries);
    const before = Array.from({ length: SHARD_COUNT }, (_, shard) => directory.ownerOfShard(shard));
    directory.setLive(entries.slice(0, 2));
    before.forEach((owner, shard) => {
      if (owner.entryId !== 'c') {
        assert.equal(directory.ownerOfShard(shard).entryId, owner.entryId, `shard ${shard}`);
      }
    });
  });
});
