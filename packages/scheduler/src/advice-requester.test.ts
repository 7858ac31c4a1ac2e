/**
 * Guards against steps that wait for a ticket without end because others, which can start nowhere, take the calls of
 * the adviser.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CellState, placeTasks } from '@figjunction/scheduling';
import { POLICY, addJob, addVm, createStep } from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import type { QueuePolicy, StepSpecification } from '@figjunction/types';
import { AdviceRequester } from './advice-requester.js';
import { Adviser } from './adviser.js';
import type { AdviceTicket } from './adviser.js';
import { createCellContext } from './cell-context-fixture.js';

const ADVICE = { decideMs: 100, eachVmMs: 10, validMs: 3_000 };
const QUEUE: QueuePolicy = { ...POLICY, objectiveMs: 60_000, advice: ADVICE };
const CALL_MS = 200;

/** Permits some VMs, and answers calls about some steps with a failure. */
class RecordingAdviser extends Adviser {
  readonly calls: { jobId: string; instanceIds: string[] }[] = [];

  permits: (jobId: string, instanceId: string) => boolean = () => true;

  failingJobs: string[] = [];

  /** Calls about these get no answer. */
  unansweredJobs: string[] = [];

  override async advise(step: string, instanceIds: string[]): Promise<AdviceTicket[]> {
    const [jobId = ''] = step.split('.');
    this.calls.push({ jobId, instanceIds });
    if (this.failingJobs.includes(jobId)) {
      throw new Error('refused');
    }
    if (this.unansweredJobs.includes(jobId)) {
      return new Promise(() => {});
    }
    return instanceIds
      .filter((id) => this.permits(jobId, id))
      .map((instanceId) => ({ instanceId, ticket: `ticket ${step} ${instanceId}` }));
  }
}

class AdvisedCell {
  readonly state = new CellState();

  readonly clock = new ManualClock(1_000);

  readonly adviser = new RecordingAdviser();

  private readonly requester = new AdviceRequester(
    createCellContext(this.clock, { adviser: this.adviser }),
    this.state,
    () => {},
  );

  addVms(count: number): void {
    for (let index = 1; index <= count; index += 1) {
      addVm(this.state, `vm-${index}`);
    }
  }

  addJob(id: string, step: Partial<StepSpecification> = {}, policy = QUEUE): void {
    const dueAt = this.clock.now();
    addJob(this.state, { id, steps: [createStep(step)], policy, dueAt });
  }

  /** Runs so many ticks, each with time for one call. Returns the jobs whose tasks have started, in their order. */
  async run(ticks: number): Promise<string[]> {
    const started: string[] = [];
    for (let tick = 0; tick < ticks; tick += 1) {
      const placement = placeTasks(this.state, this.clock.now());
      started.push(...placement.started.map(({ task }) => task.step.occurrence.job.id));
      this.requester.requestForSteps(placement.lackingAdvice, this.clock.now());
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
      this.clock.advance(CALL_MS);
    }
    return started;
  }

  /** The jobs that the calls were about, in their order. */
  get calledJobs(): string[] {
    return this.adviser.calls.map(({ jobId }) => jobId);
  }
}

test('starts a task although 40 steps before it need a label that no VM has', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  for (let index = 0; index < 40; index += 1) {
    cell.addJob(`stuck-${index}`, { requiredLabel: 'b' });
  }
  cell.addJob('runnable');
  assert.deepEqual(await cell.run(3), ['runnable']);
  assert.deepEqual(cell.calledJobs, ['runnable']);
});

test('calls for no step that finds no room, while another would start with a ticket', async () => {
  const cell = new AdvisedCell();
  cell.addVms(2);
  const large = { processorMillicores: 5_000, memoryMegabytes: 10, accelerators: 0 };
  for (let index = 0; index < 40; index += 1) {
    cell.addJob(`large-${index}`, { resources: large });
    cell.addJob(`gang-${index}`, { gang: true, taskCount: 9 });
  }
  cell.addJob('runnable');
  assert.deepEqual(await cell.run(2), ['runnable']);
  assert.deepEqual(cell.calledJobs.slice(0, 1), ['runnable']);
});

test('starts a task although the calls about 20 steps before it fail each time', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  for (let index = 0; index < 20; index += 1) {
    cell.addJob(`failing-${index}`);
    cell.adviser.failingJobs.push(`failing-${index}`);
  }
  await cell.run(60);
  cell.addJob('runnable');
  assert.deepEqual(await cell.run(4), ['runnable']);
});

test('starts a task although the adviser permits no VM to 20 steps before it', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  cell.adviser.permits = (jobId) => jobId === 'runnable';
  for (let index = 0; index < 20; index += 1) {
    cell.addJob(`refused-${index}`);
  }
  await cell.run(60);
  cell.addJob('runnable');
  assert.deepEqual(await cell.run(4), ['runnable']);
});

test('asks about all VMs when the adviser permits only those that the first calls do not name', async () => {
  const cell = new AdvisedCell();
  cell.addVms(150);
  cell.adviser.permits = (_, instanceId) => instanceId === 'instance-of-vm-150';
  cell.addJob('first');
  cell.addJob('second');
  const started = await cell.run(14);
  assert.deepEqual(started.sort(), ['first', 'second']);
  assert.ok(cell.adviser.calls.every(({ instanceIds }) => instanceIds.length <= 30));
});

test('names no more VMs than the validity of the tickets leaves time for', async () => {
  const cell = new AdvisedCell();
  cell.addVms(20);
  cell.addJob('job', {}, { ...QUEUE, advice: { ...ADVICE, validMs: 400 } });
  await cell.run(1);
  assert.equal(cell.adviser.calls[0]?.instanceIds.length, 10);
});

test('gives a queue its calls beside one with more new steps than calls', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  const crowded = { ...QUEUE, name: 'crowded', priority: 0 };
  cell.adviser.permits = (jobId) => jobId === 'runnable';
  for (let index = 0; index < 200; index += 1) {
    cell.addJob(`crowded-${index}`, {}, crowded);
  }
  await cell.run(10);
  cell.addJob('runnable');
  assert.deepEqual(await cell.run(4), ['runnable']);
});

test('asks anew about a VM that has started again', async () => {
  const cell = new AdvisedCell();
  cell.addVms(1);
  cell.adviser.permits = () => false;
  cell.addJob('job');
  await cell.run(3);
  assert.equal(cell.adviser.calls.length, 1);
  const [vm] = cell.state.vms.values();
  assert.ok(vm?.announcement);
  vm.announcement = { ...vm.announcement, bornWallMs: 2_000 };
  await cell.run(1);
  assert.equal(cell.adviser.calls.length, 2);
});

test('starts a task within a second although a call about another step gets no answer', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  cell.addJob('unanswered');
  cell.adviser.unansweredJobs.push('unanswered');
  await cell.run(1);
  cell.addJob('runnable');
  assert.deepEqual(await cell.run(6), ['runnable']);
  const calls = cell.calledJobs.filter((jobId) => jobId === 'unanswered');
  assert.equal(calls.length, 1, 'an open call is not repeated');
});

test('leaves no more than four calls open', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  for (let index = 0; index < 10; index += 1) {
    cell.addJob(`unanswered-${index}`);
    cell.adviser.unansweredJobs.push(`unanswered-${index}`);
  }
  await cell.run(60);
  assert.equal(cell.adviser.calls.length, 4);
});

test('goes on at once after an answer while an earlier call is open', async () => {
  const cell = new AdvisedCell();
  cell.addVms(6);
  cell.addJob('unanswered');
  cell.adviser.unansweredJobs.push('unanswered');
  await cell.run(6);
  Array.from({ length: 5 }, (_, index) => cell.addJob(`runnable-${index}`));
  assert.equal((await cell.run(6)).length, 5);
});
