/**
 * Guards against a log that does not tell which ends were acknowledged when, and which rows the others wait for.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import {
  addJob,
  addVm,
  createState,
  createStep,
  sendReport,
} from '@figjunction/scheduling/cell-fixture';
import { Metrics } from '@figjunction/telemetry';
import { RunEnding } from '@figjunction/types';
import { AcknowledgementLog } from './acknowledgement-log.js';

const EPOCH = 3;
const JOB_ID = '00000000000000aa';
const VM_COUNT = 300;
/** As many as a VM lists at a time. */
const ENDS_PER_VM = 500;

test('tells once which ends are acknowledged, and which rows the others wait for', () => {
  const state = createState();
  const events = new RecordingEventLog();
  const log = new AcknowledgementLog({ events, metrics: new Metrics() }, state, EPOCH);
  addJob(state, { id: JOB_ID, steps: [createStep({ taskCount: 2 })] });
  const vm = addVm(state, 'vm-1');
  addVm(state, 'vm-2');
  log.summarize(0);
  const taskId = `${JOB_ID}.0.0.0`;
  const ended = [{ sequence: 4, taskId, run: 1, ending: RunEnding.Done, checkpoint: '' }];
  sendReport(state, vm, { session: 1, ended }, 1_000);
  log.summarize(1_500);
  vm.unsettledEnds = [];
  vm.settledThrough = 4;
  log.summarize(2_000);
  log.summarize(3_000);
  const noRows = { rows: 0, firstRows: [] };
  assert.deepEqual(events.fieldsOf('ends-acknowledged'), [
    {
      epoch: EPOCH,
      through: {},
      waiting: 1,
      waitingMs: 500,
      rows: 1,
      firstRows: [`${JOB_ID}.0`],
    },
    { epoch: EPOCH, through: { 'vm-1': 4 }, waiting: 0, waitingMs: 0, ...noRows },
  ]);
});

test('tells of any number of waiting ends without a failure of the tick', () => {
  const state = createState();
  const events = new RecordingEventLog();
  const log = new AcknowledgementLog({ events, metrics: new Metrics() }, state, EPOCH);
  const job = addJob(state, { id: JOB_ID, steps: [createStep()] });
  const occurrence = job.occurrences.get(0);
  assert.ok(occurrence !== undefined);
  const end = { sequence: 1, occurrence, change: 1, appliedAt: 1_000 };
  for (let index = 0; index < VM_COUNT; index += 1) {
    state.addVm(`vm-${index}`, '').unsettledEnds = Array<typeof end>(ENDS_PER_VM).fill(end);
  }
  log.summarize(3_000);
  const [fields] = events.fieldsOf('ends-acknowledged');
  assert.equal(fields?.waiting, VM_COUNT * ENDS_PER_VM);
  assert.equal(fields.waitingMs, 2_000);
});
