/**
 * Creates VM sessions with an in-memory VM for tests of the runner.
 */
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { ManualClock } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type { VmAnnouncement } from '@figjunction/types';
import { FakeVmHost } from './fake-vm-host.js';
import { VmSession } from './vm-session.js';

const ANNOUNCEMENT: VmAnnouncement = {
  instanceId: 'instance-1',
  bornWallMs: 1_000,
  service: 'printing',
  dataCentre: 'istanbul',
  state: VmState.Ready,
  capacity: { processorMillicores: 4_000, memoryMegabytes: 1_000, accelerators: 0 },
  labels: [],
  rack: null,
  remainingMs: null,
};

export interface SessionFixture {
  host: FakeVmHost;
  events: RecordingEventLog;
  session: VmSession;
}

export interface ManualSessionFixture extends SessionFixture {
  clock: ManualClock;
  /** Passes time for the runner and the VM. */
  advance: (milliseconds: number) => void;
}

export function createVmSession(clock: Clock, { host = new FakeVmHost() } = {}): SessionFixture {
  const events = new RecordingEventLog();
  const session = new VmSession({
    host,
    clock,
    events,
    announcement: ANNOUNCEMENT,
    epoch: () => 1,
    onChange: () => {},
  });
  return { host, events, session };
}

/** Creates a session whose clock the test advances together with that of the VM. */
export function createManualSession(host = new FakeVmHost()): ManualSessionFixture {
  const clock = new ManualClock(1_000);
  const advance = (milliseconds: number): void => {
    clock.advance(milliseconds);
    host.vmClockMs += milliseconds;
  };
  return { ...createVmSession(clock, { host }), clock, advance };
}

/** Lets the VM list a run of the task. */
export function runTask(host: FakeVmHost, taskId: string): void {
  host.running.push({ taskId, run: 1, checkpoint: '', percent: 0, reading: 0 });
}
