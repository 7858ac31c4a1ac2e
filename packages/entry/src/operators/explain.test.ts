import assert from 'node:assert/strict';
import { afterEach, beforeEach, test } from 'node:test';
import { DecisionKind, ExplainSubject, proposalKey } from '@figjunction/types';
import type { DecisionRecord } from '@figjunction/types';
import { keyOfTaskId } from '../tasks/task-identifiers.js';
import { LOCATION, SHARED_TOKEN, TestEntry, fileWith, record } from './operators-fixture.test.js';

let entry: TestEntry;

beforeEach(async () => {
  entry = new TestEntry('entry-1');
  await entry.start();
});

afterEach(() => entry.stop());

test('explain merges the records of all entries and hides those of other teams', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const peer = new TestEntry('entry-2');
  await peer.start();
  const unreachable = { entryId: 'entry-3', address: 'http://127.0.0.1:1', location: LOCATION };
  entry.context.peers.setLive([peer.context.peers.own(), unreachable]);
  entry.context.decisions.add(record({}));
  peer.context.decisions.add(
    record({ kind: DecisionKind.Admit, decidedAt: '2026-01-01T00:00:01.000Z' }),
  );
  const seen = await entry.call('GET', '/v1/explain/request/r-1', 'kitchen-token');
  const kinds = (seen.body.records as DecisionRecord[]).map(({ kind }) => kind);
  assert.deepEqual(kinds, ['route', 'admit']);
  assert.deepEqual(seen.body.unavailable, ['entry-3'], 'unreachable entries are listed');
  assert.equal((await entry.call('GET', '/v1/explain/request/r-1', 'school-token')).status, 404);
  await peer.stop();
});

test('explain of a run reads its row and queries the agents on which it failed', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const subjectId = 'kitchen.night.menu';
  const lastDecision = record({ subject: ExplainSubject.Run, subjectId });
  const value = { team: 'kitchen', lastDecision, holder: null, failedOn: ['vm-7'] };
  const writes = [{ key: keyOfTaskId(subjectId) ?? '', expectedVersion: 0, value }];
  await entry.context.table.transact({ checks: [], writes });
  const { body } = await entry.call('GET', `/v1/explain/run/${subjectId}`, 'kitchen-token');
  assert.deepEqual(body.records, [lastDecision]);
  assert.deepEqual(body.unavailable, ['vm-7']);
});

test('explain of a proposal reads the stored explanation, which outlives its entry', async () => {
  await entry.apply(0, fileWith('a'), SHARED_TOKEN);
  const explanation = record({ subject: ExplainSubject.Proposal, subjectId: 'p-1' });
  const value = { proposalId: 'p-1', state: 'open', agentId: 'vm-1', explanation };
  const writes = [{ key: proposalKey('p-1'), expectedVersion: 0, value }];
  await entry.context.table.transact({ checks: [], writes });
  const { body } = await entry.call('GET', '/v1/explain/proposal/p-1', 'operator-token');
  assert.deepEqual(body.records, [explanation]);
  const open = await entry.call('GET', '/v1/proposals', 'operator-token');
  assert.equal((open.body.proposals as unknown[]).length, 1);
});
