/**
 * Guards against a filler task that stays suspended because a pace call that fails late makes the pacer forget the
 * pace that the VM has confirmed since.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode } from '@figjunction/errors';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { ManualClock, sleep } from '@figjunction/time';
import { FakeVmHost } from './fake-vm-host.js';
import { FillerPacer } from './filler-pacer.js';
import { RunTable } from './run-table.js';
import { RunnerError } from './runner-error.js';
import type { PaceRequest } from './vm-host.js';

const CALL = { instanceId: 'instance-1', epoch: 1 };
const TARGET_MS = 100;
const SERVING = 's.0.0.0';
const FILLER = 'f.0.0.0';

/** The first pace call gets no response, which shows only when the test says so. */
class SilentFirstPaceHost extends FakeVmHost {
  failFirst: () => void = () => {};

  override pace(request: PaceRequest): Promise<void> {
    this.paces.push(request);
    return this.paces.length > 1
      ? Promise.resolve()
      : new Promise((_, reject) => {
          const error = new RunnerError('no response', { code: ErrorCode.OutcomeUnknown });
          this.failFirst = () => reject(error);
        });
  }
}

test('restores the pace of a filler task after an earlier pace call has failed late', async () => {
  const host = new SilentFirstPaceHost();
  const clock = new ManualClock(1_000);
  const pacer = new FillerPacer(host, new RecordingEventLog(), clock);
  const runs = new RunTable();
  runs.setAttributes({
    taskId: SERVING,
    run: 1,
    fills: false,
    latencyTargetMs: TARGET_MS,
    pressure: 0,
  });
  runs.setAttributes({ taskId: FILLER, run: 1, fills: true, latencyTargetMs: null, pressure: 1 });
  const list = (taskIds: string[], reading: number): void => {
    const running = taskIds.map((taskId) => ({
      taskId,
      run: 1,
      checkpoint: '',
      percent: 0,
      reading,
    }));
    clock.advance(700);
    runs.apply({ running, ended: [] }, clock.now(), clock.now());
    pacer.adjust(runs, CALL);
  };
  list([SERVING, FILLER], 1.1 * TARGET_MS);
  list([SERVING, FILLER], 2 * TARGET_MS);
  assert.equal(host.paces.length, 2);
  host.failFirst();
  await sleep(1);
  // Nothing serves any more, so the filler task may use all that is left.
  list([FILLER], 0);
  assert.equal(host.paces[host.paces.length - 1]?.percent, 100);
});
