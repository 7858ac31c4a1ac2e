/**
 * Guards against a report that was built for an earlier scheduler at the same address. It leaves out the ends
 * that this scheduler had received but not stored, so their tasks would run a second time. Also guards against
 * reports that arrive late or twice, and ends that are not applied, without a trace in the log.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { placeTasks } from '@figjunction/scheduling';
import { createAnnouncement } from '@figjunction/scheduling/cell-fixture';
import { RunEnding } from '@figjunction/types';
import type { ReportParameters, ReportResult } from '@figjunction/types';
import {
  FIXTURE_EPOCH,
  FIXTURE_JOB,
  FIXTURE_RUNNER_ADDRESS,
  createRunnerSessions,
} from './runner-sessions-fixture.js';
import type { RunnerSessions } from './runner-sessions.js';

const DONE = { run: 1, ending: RunEnding.Done, checkpoint: '' };

function createReport(changes: Partial<ReportParameters>): ReportParameters {
  return {
    agentId: 'vm-1',
    address: FIXTURE_RUNNER_ADDRESS,
    processId: 'process-1',
    sequence: 1,
    listAgeMs: 0,
    silentMs: 0,
    epoch: FIXTURE_EPOCH,
    session: 0,
    offeredSession: 0,
    vm: createAnnouncement(),
    running: [],
    crashed: [],
    ended: [],
    hasUnlistedEnds: false,
    answers: [],
    pressureAllowance: null,
    vanished: [],
    ...changes,
  };
}

/** Requests an offer with report `sequence` - 1 and opens the session with report `sequence`. */
function openSession(
  sessions: RunnerSessions,
  { sequence = 2, ...changes }: Partial<ReportParameters>,
): ReportResult {
  const request = { ...changes, sequence: sequence - 1, running: null, ended: [] };
  const { offeredSession } = sessions.handleReport(createReport(request));
  return sessions.handleReport(createReport({ ...changes, sequence, offeredSession }));
}

test('refuses a report that was built for the scheduler before', () => {
  const { state, sessions } = createRunnerSessions();
  // The earlier scheduler has received the end of task 0, sequence 1, so this report leaves it out.
  const laterEnd = { sequence: 2, taskId: `${FIXTURE_JOB}.0.0.1`, ...DONE };
  const result = sessions.handleReport(createReport({ epoch: 1, session: 1, ended: [laterEnd] }));
  assert.deepEqual([result.epoch, result.session], [2, 0]);
  assert.ok(state.unreportedVms.has('vm-1'));
  assert.equal(placeTasks(state, 1_000).started.length, 0);
});

test('applies all ends of the report that follows, and starts no done task again', () => {
  const { state, sessions } = createRunnerSessions();
  const laterEnd = { sequence: 2, taskId: `${FIXTURE_JOB}.0.0.1`, ...DONE };
  sessions.handleReport(createReport({ epoch: 1, session: 1, ended: [laterEnd] }));
  const firstEnd = { sequence: 1, taskId: `${FIXTURE_JOB}.0.0.0`, ...DONE };
  const result = openSession(sessions, { sequence: 3, ended: [firstEnd, laterEnd] });
  assert.equal(result.session, 1);
  assert.equal(placeTasks(state, 1_000).started.length, 0);
  assert.equal(state.jobs.get(FIXTURE_JOB)?.occurrences.get(0)?.steps[0]?.doneCount, 2);
});

test('logs which report opened a session, how old its list was, and which session it replaced', () => {
  const { sessions, events } = createRunnerSessions();
  openSession(sessions, { sequence: 4, listAgeMs: 120 });
  openSession(sessions, { processId: 'process-2', listAgeMs: 1_900 });
  const lines = events
    .fieldsOf('runner-session')
    .map(({ process, session, previousSession, sequence, listAgeMs }) => [
      process,
      session,
      previousSession,
      sequence,
      listAgeMs,
    ]);
  assert.deepEqual(lines, [
    ['process-1', 1, 0, 4, 120],
    ['process-2', 2, 1, 2, 1_900],
  ]);
});

test('refuses, logs and counts reports that arrive late or twice', async () => {
  const { sessions, events, metrics } = createRunnerSessions();
  openSession(sessions, { sequence: 2 });
  sessions.handleReport(createReport({ sequence: 3, session: 1, running: null }));
  assert.deepEqual(events.fieldsOf('report-overtaken'), []);
  const late = sessions.handleReport(createReport({ sequence: 2 }));
  assert.deepEqual([late.session, late.offeredSession], [0, 0]);
  const repeated = sessions.handleReport(createReport({ epoch: 1, sequence: 3, session: 1 }));
  assert.equal(repeated.session, 0);
  const common = { vm: 'vm-1', process: 'process-1', highestSequence: 3 };
  assert.deepEqual(events.fieldsOf('report-overtaken'), [
    { ...common, sequence: 2, session: 0, currentSession: 1 },
    { ...common, sequence: 3, session: 1, currentSession: 1 },
  ]);
  assert.match(await metrics.render(), /^reports_overtaken_total 2$/mu);
});

test('remembers the reports of the earlier processes of a runner', () => {
  const { sessions, events } = createRunnerSessions();
  sessions.handleReport(createReport({ sequence: 9 }));
  sessions.handleReport(createReport({ processId: 'process-2', sequence: 1 }));
  assert.deepEqual(events.fieldsOf('report-overtaken'), []);
  sessions.handleReport(createReport({ sequence: 9 }));
  assert.equal(events.fieldsOf('report-overtaken')[0]?.process, 'process-1');
});

test('logs and counts the ends that are acknowledged without being applied', async () => {
  const { sessions, events, metrics } = createRunnerSessions();
  const unknown = (sequence: number, ending: RunEnding) => {
    const taskId = `00000000000000bb.0.0.${sequence}`;
    return { sequence, taskId, run: 1, ending, checkpoint: '' };
  };
  const ended = [unknown(1, RunEnding.Done), unknown(2, RunEnding.Stopped)];
  openSession(sessions, { ended });
  assert.deepEqual(events.fieldsOf('ends-unapplied'), [
    {
      vm: 'vm-1',
      epoch: FIXTURE_EPOCH,
      session: 0,
      listAgeMs: 0,
      ends: 2,
      firstSequence: 1,
      lastSequence: 2,
      done: [{ taskId: '00000000000000bb.0.0.1', run: 1 }],
    },
  ]);
  const page = await metrics.render();
  assert.match(page, /^ends_unapplied_total 2$/mu);
});

test('opens a session only with the last offer, once, and before it expires', () => {
  const { clock, sessions } = createRunnerSessions();
  const request = (sequence: number): number =>
    sessions.handleReport(createReport({ sequence, running: null })).offeredSession;
  const replaced = request(1);
  const last = request(2);
  const open = (sequence: number, offeredSession: number): ReportResult =>
    sessions.handleReport(createReport({ sequence, offeredSession }));
  assert.equal(open(3, replaced).session, 0);
  const afterRefusal = request(4);
  assert.notEqual(afterRefusal, last);
  assert.equal(open(5, afterRefusal).session, afterRefusal);
  assert.equal(open(6, afterRefusal).session, 0);
  const expired = request(7);
  clock.advance(3_000);
  assert.equal(open(8, expired).session, 0);
});

test('opens no session for another process than the one that was offered it', () => {
  const { sessions } = createRunnerSessions();
  const { offeredSession } = sessions.handleReport(createReport({ running: null }));
  const other = createReport({ processId: 'process-2', offeredSession });
  assert.equal(sessions.handleReport(other).session, 0);
});

test('extends the lease of a VM only as far as its answers reach', () => {
  const { clock, state, sessions } = createRunnerSessions();
  const vm = state.vms.get('vm-1');
  assert.ok(vm !== undefined);
  const { grantMs } = openSession(sessions, {});
  const opened = vm.leaseExpiresAt;
  const reportSilence = (sequence: number, silentMs: number): number =>
    sessions.handleReport(createReport({ sequence, session: 1, running: null, silentMs })).grantMs;
  clock.advance(2_000);
  assert.equal(reportSilence(3, 1_500), grantMs - 1_500);
  const extended = vm.leaseExpiresAt;
  assert.ok(extended > opened && extended < opened + 2_000);
  clock.advance(3_000);
  assert.equal(reportSilence(4, grantMs), 0);
  assert.equal(vm.leaseExpiresAt, extended);
  assert.equal(vm.session, 1);
});

test('opens a session with the full bound, as an earlier scheduler may have granted as much', () => {
  const { clock, state, sessions } = createRunnerSessions();
  const vm = state.vms.get('vm-1');
  assert.ok(vm !== undefined);
  const { grantMs } = openSession(sessions, { silentMs: 4_000 });
  assert.equal(grantMs, 1_000);
  clock.advance(5_000);
  sessions.expireLeases(clock.now());
  assert.notEqual(vm.session, 0);
});

test('tells once that a VM lists a run which no job wants', () => {
  const { sessions, events } = createRunnerSessions();
  const orphan = { taskId: '00000000000000bb.0.0.0', run: 1 };
  const running = [{ ...orphan, checkpoint: '', percent: 0, reading: 0 }];
  const { session } = openSession(sessions, { running, listAgeMs: 40 });
  sessions.handleReport(createReport({ sequence: 3, session, running }));
  const lines = events.fieldsOf('run-orphaned');
  assert.equal(lines.length, 1);
  assert.equal(lines[0]?.task, orphan.taskId);
  assert.equal(lines[0]?.listAgeMs, 40);
});
