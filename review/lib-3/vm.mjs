/**
 * Stand-in for a minion, as PROTOCOL.md describes it: starts and stops runs, keeps a lease on its own clock, takes
 * checkpoints, lists ends until they are taken note of, and sends heartbeats. It can crash and come back.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { call, readBody, sendJson } from './http.mjs';

const HEARTBEAT_MS = 500;
const TICK_MS = 10;
const STOP_MS = 100;
const RESTORE_MS = 100;
const CHECKPOINT_MS = 2_000;
const GANG_WAIT_MS = 3_000;
const ENDS_PER_LIST = 500;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** `board` is shared by all minions: it knows the tasks' work, the gangs, and records all runs. */
export class Vm {
  constructor({ name, host, reportsAddress, service, labels, capacity, board, holdMaximumMs }) {
    Object.assign(this, { name, host, reportsAddress, service, labels, capacity, board });
    this.holdMaximumMs = holdMaximumMs;
    this.life = 0;
    this.isDown = false;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async start() {
    this.server.listen(0, this.host);
    await once(this.server, 'listening');
    this.address = `${this.host}:${this.server.address().port}`;
    this.begin(this.name);
    this.timers = [
      setInterval(() => this.tick(), TICK_MS),
      setInterval(() => this.beat(), HEARTBEAT_MS),
    ];
    this.beat();
  }

  stop() {
    (this.timers ?? []).forEach((timer) => clearInterval(timer));
    this.server.closeAllConnections();
    this.server.close();
  }

  begin(id) {
    this.life += 1;
    this.id = id;
    this.born = Date.now();
    this.bornSteady = performance.now();
    this.running = new Map();
    this.finished = [];
    this.endCount = 0;
    this.highestRuns = new Map();
    this.fence = 0;
    this.leaseUntil = 0;
    this.sequence = 0;
    this.state = 'ready';
    this.isDown = false;
  }

  /** Everything that runs here ends unlisted; a new life begins after `downMs`. */
  async crash(downMs, keepsId) {
    this.isDown = true;
    this.board.log('crash', { vm: this.name });
    this.running.forEach((run) => this.close(run, 'crashed'));
    this.running.clear();
    this.server.closeAllConnections();
    const { life } = this;
    await sleep(downMs);
    if (life === this.life) {
      this.begin(keepsId ? this.id : `${this.name}-${life + 1}`);
      this.board.log('back', { vm: this.name, id: this.id });
      this.beat();
    }
  }

  clock() {
    return Math.floor(performance.now() - this.bornSteady);
  }

  async handle(request, response) {
    const body = JSON.parse(await readBody(request));
    const { life } = this;
    if (this.isDown) {
      response.destroy();
      return;
    }
    if (request.headers['figjunction-expect-instance'] !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    if (request.url === '/v1/hold') {
      await this.hold(body, response, life);
      return;
    }
    const { status, reason } = this.execute(request.url, body);
    sendJson(response, status, { clock_ms: this.clock(), ...(reason ? { reason } : {}) });
  }

  execute(path, order) {
    if ((order.fence_token ?? 0) < this.fence) {
      return { status: 409, reason: 'fence' };
    }
    this.fence = order.fence_token ?? 0;
    this.checkLease();
    if (path === '/v1/run-start') {
      return this.startRun(order);
    }
    if (path === '/v1/run-stop') {
      this.stopRun(order);
    }
    return { status: 200 };
  }

  extendLease(deadline) {
    const limit = this.clock() + this.holdMaximumMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline ?? 0, limit));
  }

  startRun(order) {
    const { task, run } = order;
    const present = this.running.get(task);
    if (present?.run === run) {
      this.extendLease(order.deadline_ms);
      return { status: 200 };
    }
    if (order.deadline_ms < this.clock()) {
      return { status: 409, reason: 'late' };
    }
    this.extendLease(order.deadline_ms);
    if (run <= (this.highestRuns.get(task) ?? 0) || present !== undefined) {
      return { status: 409, reason: 'old' };
    }
    const plan = this.board.planOf(task);
    const cpu = plan?.cpu ?? 0;
    const used = [...this.running.values()].reduce((sum, other) => sum + other.cpu, 0);
    if (used + cpu > this.capacity.cpu) {
      return { status: 409, reason: 'room' };
    }
    this.highestRuns.set(task, run);
    const record = this.board.open({ vm: this.name, id: this.id, order });
    const done = this.board.workIn(order.checkpoint ?? '');
    const entry = { task, run, cpu, record, plan, done, saved: '', savedAt: done };
    entry.readyAt = Date.now() + (order.checkpoint ? RESTORE_MS : 0);
    entry.openedAt = Date.now();
    entry.lastAt = Date.now();
    this.running.set(task, entry);
    if (plan?.gang) {
      this.board.joinGang(entry, this);
    }
    return { status: 200 };
  }

  stopRun({ task, run }) {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const entry = this.running.get(task);
    if (entry !== undefined && entry.run <= run) {
      entry.stopAt ??= Date.now() + STOP_MS;
    }
  }

  async hold(body, response, life) {
    if ((body.fence_token ?? 0) < this.fence) {
      sendJson(response, 409, { clock_ms: this.clock(), reason: 'fence' });
      return;
    }
    this.fence = body.fence_token ?? 0;
    this.checkLease();
    this.extendLease(body.deadline_ms);
    this.finished
      .filter((end) => end.row[0] <= body.last_seen)
      .forEach((end) => {
        end.record.notedAt = Date.now();
        end.record.notedUnderLease = !end.lapsedSince;
      });
    this.finished = this.finished.filter((end) => end.row[0] > body.last_seen);
    const until = Date.now() + (body.wait_ms ?? 0);
    while (this.finished.length === 0 && Date.now() < until && life === this.life && !this.isDown) {
      await sleep(TICK_MS);
    }
    if (life !== this.life || this.isDown) {
      response.destroy();
      return;
    }
    const running = [...this.running.values()].map((entry) => [
      entry.task,
      entry.run,
      entry.saved,
      this.percentOf(entry),
      0,
    ]);
    const finished = this.finished.slice(0, ENDS_PER_LIST).map((end) => end.row);
    sendJson(response, 200, { clock_ms: this.clock(), born: this.born, running, finished });
  }

  percentOf(entry) {
    if (entry.plan?.lasts) {
      return Date.now() - entry.openedAt > 500 ? 100 : 0;
    }
    return Math.min(99, Math.floor((100 * entry.done) / (entry.plan?.workMs ?? 1)));
  }

  checkLease() {
    if (this.clock() > this.leaseUntil) {
      [...this.running.values()].forEach((entry) => this.end(entry, 'lapsed'));
      this.finished.forEach((end) => {
        end.lapsedSince = true;
      });
    }
  }

  tick() {
    if (this.isDown) {
      return;
    }
    this.checkLease();
    for (const entry of [...this.running.values()]) {
      this.advance(entry);
    }
  }

  advance(entry) {
    const now = Date.now();
    const step = now - entry.lastAt;
    entry.lastAt = now;
    if (entry.broken) {
      this.end(entry, 'broken');
      return;
    }
    const isWaiting = entry.gang !== undefined && !entry.gang.isComplete;
    if (now >= entry.readyAt && !isWaiting) {
      entry.done += step;
    }
    if (entry.stopAt !== undefined && now >= entry.stopAt) {
      this.save(entry);
      this.end(entry, 'stopped');
    } else if (isWaiting && now - entry.openedAt > GANG_WAIT_MS) {
      this.end(entry, 'alone');
    } else if (entry.plan?.failsAt !== undefined && entry.done >= entry.plan.failsAt) {
      this.end(entry, 'failed');
    } else if (entry.plan && !entry.plan.lasts && entry.done >= entry.plan.workMs) {
      this.end(entry, 'done');
    } else if (entry.done - entry.savedAt >= CHECKPOINT_MS) {
      this.save(entry);
    }
  }

  save(entry) {
    if (entry.plan?.saves) {
      entry.savedAt = entry.done;
      entry.saved = this.board.makeCheckpoint(entry);
    }
  }

  end(entry, how) {
    this.running.delete(entry.task);
    this.close(entry, how);
    this.endCount += 1;
    const row = [this.endCount, entry.task, entry.run, how, entry.saved];
    this.finished.push({ row, record: entry.record, lapsedSince: how === 'lapsed' });
  }

  close(entry, how) {
    this.board.close(entry.record, how);
    if (entry.gang !== undefined) {
      this.board.leaveGang(entry, how);
    }
  }

  beat() {
    if (this.isDown) {
      return;
    }
    this.sequence += 1;
    const body = {
      service: this.service,
      address: this.address,
      zone: 'metsovo',
      version: 'v1',
      slots: 8,
      state: this.state,
      capacity: this.capacity,
      labels: this.labels,
      born: this.born,
      clock_ms: this.clock(),
      sequence: this.sequence,
    };
    const path = `/v1/Instances.Heartbeat/${this.id}`;
    call({ address: this.reportsAddress, method: 'POST', path, body, timeoutMs: 1_000 });
  }
}
