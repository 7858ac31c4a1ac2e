/**
 * Guards against heartbeats of another writer that shut out the sound VM beside the runner, and against late ones of
 * an earlier incarnation.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ErrorCode } from '@figjunction/errors';
import { RecordingEventLog } from '@figjunction/logger/recording-event-log';
import { createAnnouncement } from '@figjunction/scheduling/cell-fixture';
import { ManualClock } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type { VmAnnouncement } from '@figjunction/types';
import { HeartbeatReceiver } from './heartbeat-receiver.js';
import type { Heartbeat } from './heartbeat-receiver.js';
import { RunnerError } from './runner-error.js';
import { HoldRefusal } from './vm-host.js';
import type { HoldRequest, HoldResult } from './vm-host.js';

const HEARTBEAT_INTERVAL_MS = 1_500;
const BORN = 1_700_000_000_000;
const TRUE_VM = createAnnouncement({ instanceId: 'i-true', bornWallMs: BORN });

/** Keeps the announcement of the VM, as a runner does. */
class FakeRunner {
  readonly epoch = 3;

  announcement: VmAnnouncement | null = null;

  /** Identities that the VM had for the runner, in order. */
  readonly identities: string[] = [];

  handleAnnouncement(announcement: VmAnnouncement): void {
    const { announcement: current } = this;
    if (current !== null && current.bornWallMs > announcement.bornWallMs) {
      return;
    }
    if (identityOf(current) !== identityOf(announcement)) {
      this.identities.push(identityOf(announcement));
    }
    this.announcement = announcement;
  }

  handleDeregistration(instanceId: string): void {
    if (this.announcement?.instanceId === instanceId) {
      this.announcement = null;
    }
  }
}

/** A VM that answers as one incarnation, and the runner beside it. */
class Scene {
  vm = { instanceId: 'i-true', bornWallMs: BORN };

  isAnswering = true;

  isFenced = false;

  readonly runner = new FakeRunner();

  readonly events = new RecordingEventLog();

  readonly clock = new ManualClock(0);

  private sequence = 0;

  private readonly receiver = new HeartbeatReceiver({
    runner: this.runner,
    host: { hold: (request) => this.hold(request) },
    events: this.events,
    clock: this.clock,
  });

  get announcement(): VmAnnouncement | null {
    return this.runner.announcement;
  }

  /** One heartbeat of the true VM. */
  async beat(changes: Partial<VmAnnouncement> = {}): Promise<void> {
    this.sequence += 1;
    await this.send({ announcement: { ...TRUE_VM, ...this.vm, ...changes } });
  }

  async send({ announcement = TRUE_VM, address = '10.0.0.1:80', sequence = this.sequence } = {}) {
    await this.receiver.receive({ announcement, address, sequence });
  }

  /** The VM starts again; its sequence numbers begin anew. */
  restart(instanceId: string, bornWallMs: number): void {
    this.vm = { instanceId, bornWallMs };
    this.sequence = 0;
  }

  leave(bornWallMs: number | null): void {
    this.receiver.receiveDeregistration(this.vm.instanceId, bornWallMs);
  }

  private hold({ instanceId }: HoldRequest): Promise<HoldResult | HoldRefusal> {
    if (!this.isAnswering) {
      return Promise.reject(new RunnerError('no response', { code: ErrorCode.OutcomeUnknown }));
    }
    if (instanceId !== this.vm.instanceId) {
      return Promise.resolve(HoldRefusal.OtherInstance);
    }
    if (this.isFenced) {
      return Promise.resolve(HoldRefusal.Fenced);
    }
    const { bornWallMs } = this.vm;
    return Promise.resolve({ vmClockMs: 1, bornWallMs, running: [], ended: [] });
  }
}

function identityOf(announcement: VmAnnouncement | null): string {
  return `${announcement?.instanceId}@${announcement?.bornWallMs}`;
}

const odd: [string, Partial<Heartbeat>][] = [
  ['an unknown service', { announcement: { ...TRUE_VM, service: 'parcels' } }],
  ['another id and a later start', oddOf({ instanceId: 'i-odd', bornWallMs: BORN + 5_000 })],
  ['another id and an earlier start', oddOf({ instanceId: 'i-odd', bornWallMs: BORN - 5_000 })],
  ['another id and the same start', oddOf({ instanceId: 'i-odd' })],
  ['the id of the VM and a later start', oddOf({ bornWallMs: BORN + 5_000 })],
  ['the id of the VM and an earlier start', oddOf({ bornWallMs: BORN - 5_000 })],
  ['an unknown service and a later start', oddOf({ service: 'parcels', bornWallMs: BORN + 9 })],
  ['another data centre', { announcement: { ...TRUE_VM, dataCentre: 'nowhere' } }],
  ['other labels', { announcement: { ...TRUE_VM, labels: [] } }],
  ['another address', { address: '10.0.0.99:9999' }],
];

function oddOf(changes: Partial<VmAnnouncement>): Partial<Heartbeat> {
  return { announcement: { ...TRUE_VM, ...changes } };
}

for (const [name, heartbeat] of odd) {
  for (const oddPerBeat of [1, 5]) {
    for (const sequence of [1, 1_000]) {
      test(`keeps the sound VM beside ${oddPerBeat} times as many heartbeats with ${name}, sequence ${sequence}`, async () => {
        const scene = new Scene();
        await scene.beat();
        for (let round = 0; round < 40; round += 1) {
          scene.clock.advance(HEARTBEAT_INTERVAL_MS);
          await scene.beat();
          for (let index = 0; index < oddPerBeat; index += 1) {
            await scene.send({ ...heartbeat, sequence: sequence + oddPerBeat * round + index });
          }
          assert.deepEqual(scene.announcement, TRUE_VM);
        }
        assert.deepEqual(scene.runner.identities, [identityOf(TRUE_VM)]);
      });
    }
  }

  test(`finds the sound VM after a first heartbeat with ${name}`, async () => {
    const scene = new Scene();
    await scene.send({ ...heartbeat, sequence: 7 });
    for (let round = 0; round < 5; round += 1) {
      scene.clock.advance(HEARTBEAT_INTERVAL_MS);
      await scene.beat();
    }
    assert.deepEqual(scene.announcement, TRUE_VM);
  });
}

test('keeps the current incarnation while the VM leaves the question unanswered', async () => {
  const scene = new Scene();
  await scene.beat();
  scene.isAnswering = false;
  await scene.send({ announcement: { ...TRUE_VM, instanceId: 'i-odd', bornWallMs: BORN + 1 } });
  assert.deepEqual(scene.announcement, TRUE_VM);
  assert.equal(scene.events.fieldsOf('heartbeat-unconfirmed').length, 1);
});

for (const [name, id] of [
  ['its id', 'i-true'],
  ['another id', 'i-next'],
] as const) {
  test(`follows the VM to its next incarnation under ${name}`, async () => {
    const scene = new Scene();
    await scene.beat();
    await scene.beat();
    scene.restart(id, BORN + 4_000);
    await scene.beat({ labels: ['b', 'r2'] });
    assert.equal(identityOf(scene.announcement), `${id}@${BORN + 4_000}`);
    // A late one of the incarnation before.
    await scene.send({ sequence: 9 });
    assert.equal(identityOf(scene.announcement), `${id}@${BORN + 4_000}`);
  });
}

for (const kind of ['isFenced', 'isSilent']) {
  test(`uses a VM that is not known yet although its answer decides nothing (${kind})`, async () => {
    const scene = new Scene();
    scene.isFenced = kind === 'isFenced';
    scene.isAnswering = kind !== 'isSilent';
    await scene.beat();
    assert.deepEqual(scene.announcement, TRUE_VM);
  });
}

for (const isAnswering of [true, false]) {
  test(`does not bring a VM back by a late heartbeat after it has left (it answers: ${isAnswering})`, async () => {
    const scene = new Scene();
    await scene.beat({ state: VmState.Draining });
    await scene.beat({ state: VmState.Draining });
    scene.leave(BORN);
    scene.isAnswering = isAnswering;
    await scene.send({ sequence: 1 });
    await scene.send({ sequence: 2 });
    assert.equal(scene.announcement, null);
  });
}

test('uses a VM again that goes on after a deregistration of another writer', async () => {
  const scene = new Scene();
  await scene.beat();
  scene.leave(null);
  await scene.beat();
  assert.deepEqual(scene.announcement, TRUE_VM);
});

test('ignores the late deregistration of an earlier incarnation', async () => {
  const scene = new Scene();
  await scene.beat();
  scene.leave(BORN - 1);
  assert.deepEqual(scene.announcement, TRUE_VM);
  scene.leave(null);
  assert.equal(scene.announcement, null);
});
