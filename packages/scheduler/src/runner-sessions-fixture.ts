/**
 * Test fixture: a scheduler of epoch 2 that has loaded a job of which one VM may hold runs.
 */
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import type { CellState } from '@figjunction/scheduling';
import { addJob, createState, createStep } from '@figjunction/scheduling/cell-fixture';
import { Metrics } from '@figjunction/telemetry';
import { ManualClock } from '@figjunction/time';
import type { CellContext } from './cell-context.js';
import { createCellContext } from './cell-context-fixture.js';
import { RunnerSessions } from './runner-sessions.js';

export const FIXTURE_EPOCH = 2;
export const FIXTURE_JOB = '00000000000000aa';
export const FIXTURE_RUNNER_ADDRESS = 'http://127.0.0.1:1';

export interface RunnerSessionsFixture {
  clock: ManualClock;
  state: CellState;
  sessions: RunnerSessions;
  events: RecordingEventLog;
  metrics: Metrics;
}

/** The runner of the VM is `vm-1`; the job has two tasks. */
export function createRunnerSessions(changes: Partial<CellContext> = {}): RunnerSessionsFixture {
  const clock = new ManualClock(1_000);
  const events = new RecordingEventLog();
  const metrics = new Metrics();
  const state = createState();
  state.addVm('vm-1', FIXTURE_RUNNER_ADDRESS);
  state.unreportedVms.set('vm-1', 10_000);
  addJob(state, { id: FIXTURE_JOB, steps: [createStep({ taskCount: 2 })], storedVms: ['vm-1'] });
  const sessions = new RunnerSessions({
    context: createCellContext(clock, { events, metrics, ...changes }),
    state,
    lease: { epoch: FIXTURE_EPOCH, isHeld: () => true },
    writer: { registerRunner: () => {} },
    wake: () => {},
  });
  return { clock, state, sessions, events, metrics };
}
