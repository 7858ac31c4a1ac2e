/**
 * Stand-in of a minion, as PROTOCOL.md describes it: it registers at the process beside it, guards its capacity, runs
 * what it is told to under a lease, and lists what runs and what has ended. It is sound. What a task needs and how long
 * it works stands in its `spec`, as JSON.
 */
import { createServer, request as httpRequest } from 'node:http';
import { answer, readBody } from './store.mjs';

const HEARTBEAT_MS = 1_500;
const TICK_MS = 10;
const STOP_MS = 100;
const LISTED_ENDS_MAXIMUM = 500;
const FULL_PACE = 100;
/** As many as are noted in half a second. */
const READINGS = 500 / TICK_MS;

export class Minion {
  /** All starts of all incarnations, in order. */
  starts = [];

  incarnations = 0;

  isUp = false;

  /** How many times as long as usual all work takes. */
  slowness = 1;

  /** @param {object} options id, host, port, controlAddress, service, zone, labels, capacity, holdMaximumMs, record */
  constructor(options) {
    this.options = options;
    this.state = 'ready';
  }

  get address() {
    return `${this.options.host}:${this.options.port}`;
  }

  async start() {
    this.born = Date.now();
    this.bornAt = performance.now();
    this.incarnations += 1;
    this.sequence = 0;
    this.endNumber = 0;
    this.running = new Map();
    this.finished = [];
    this.highestRuns = new Map();
    this.fence = 0;
    this.leaseUntil = 0;
    this.isUp = true;
    const { host, port, record, id } = this.options;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
    record('minion-up', { minion: id, born: this.born });
    this.timers = [
      setInterval(() => {
        this.tick();
        this.running.forEach((run) => this.observe(run));
      }, TICK_MS),
      setInterval(() => this.beat(), HEARTBEAT_MS),
    ];
    this.beat();
  }

  /** Ends at once with all that runs, and sends nothing. */
  crash() {
    if (!this.isUp) {
      return;
    }
    this.isUp = false;
    this.timers.forEach((timer) => clearInterval(timer));
    this.server.closeAllConnections();
    this.server.close();
    for (const [key, run] of this.running) {
      run.start.endedAt = Date.now();
      run.start.how = 'crashed';
      this.running.delete(key);
    }
    this.options.record('minion-crashed', { minion: this.options.id });
  }

  clock() {
    return Math.floor(performance.now() - this.bornAt);
  }

  used() {
    const used = { cpu: 0, mem_mb: 0 };
    for (const { needs } of this.running.values()) {
      used.cpu += needs.fills === true ? 0 : needs.cpu;
      used.mem_mb += needs.mem_mb;
    }
    return used;
  }

  beat() {
    const { id, controlAddress, service, zone, labels, capacity } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      cold_left_ms: 0,
      capacity,
      labels,
      clock_ms: this.clock(),
      born: this.born,
      sequence: this.sequence,
    });
    const request = httpRequest(`http://${controlAddress}/v1/Instances.Heartbeat/${id}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
      timeout: 1_000,
      agent: false,
    });
    request.on('response', (response) => response.resume());
    request.on('timeout', () => request.destroy());
    request.on('error', () => {});
    request.end(body);
  }

  async handle(request, response) {
    const body = JSON.parse(await readBody(request));
    if (request.headers['figjunction-expect-instance'] !== this.options.id) {
      answer(response, 421, { clock_ms: this.clock() });
      return;
    }
    if ((body.fence_token ?? 0) < this.fence) {
      answer(response, 409, { clock_ms: this.clock(), reason: 'fence' });
      return;
    }
    this.fence = body.fence_token ?? 0;
    this.tick();
    if (request.url === '/v1/run-start') {
      const { status, reason } = this.startRun(body);
      answer(response, status, { clock_ms: this.clock(), reason });
    } else if (request.url === '/v1/run-stop') {
      this.stopRun(body);
      answer(response, 200, { clock_ms: this.clock() });
    } else if (request.url === '/v1/pace') {
      this.setPace(body);
      answer(response, 200, { clock_ms: this.clock() });
    } else if (request.url === '/v1/hold') {
      await this.hold(body, response);
    } else {
      answer(response, 200, { clock_ms: this.clock() });
    }
  }

  extendLease(deadline) {
    const latest = this.clock() + this.options.holdMaximumMs;
    this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline ?? 0, latest));
  }

  startRun({ task, run, spec, deadline_ms: deadline, checkpoint = '', ticket }) {
    const { id, capacity, record, adviser = null } = this.options;
    const key = `${task}#${run}`;
    if (this.running.has(key)) {
      this.extendLease(deadline);
      return { status: 200 };
    }
    if (deadline < this.clock()) {
      return { status: 409, reason: 'late' };
    }
    this.extendLease(deadline);
    if (run <= (this.highestRuns.get(task) ?? 0)) {
      return { status: 409, reason: 'old' };
    }
    if (adviser !== null && !adviser.isValid(ticket, task, id)) {
      return { status: 409, reason: 'ticket' };
    }
    const needs = JSON.parse(spec);
    const used = this.used();
    const cpu = needs.fills === true ? 0 : needs.cpu;
    if (used.cpu + cpu > capacity.cpu || used.mem_mb + needs.mem_mb > capacity.mem_mb) {
      return { status: 409, reason: 'room' };
    }
    this.highestRuns.set(task, run);
    const start = { minion: id, task, run, startedAt: Date.now(), endedAt: null, how: null };
    this.starts.push(start);
    this.running.set(key, {
      task,
      run,
      needs,
      start,
      workedMs: Number(checkpoint),
      countedAt: performance.now(),
      pace: FULL_PACE,
      readings: [],
      stopAt: null,
    });
    record('start', { minion: id, task, run, checkpoint });
    return { status: 200 };
  }

  stopRun({ task, run }) {
    this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
    const found = this.running.get(`${task}#${run}`);
    if (found !== undefined) {
      found.stopAt ??= performance.now() + STOP_MS;
    }
  }

  async hold({ deadline_ms: deadline, last_seen: lastSeen = 0, wait_ms: waitMs = 0 }, response) {
    this.extendLease(deadline);
    this.finished = this.finished.filter(([number]) => number > lastSeen);
    const { born } = this;
    const until = performance.now() + waitMs;
    while (this.finished.length === 0 && performance.now() < until && this.isUp) {
      await new Promise((resolve) => {
        setTimeout(resolve, TICK_MS);
      });
    }
    if (!this.isUp || born !== this.born) {
      response.destroy();
      return;
    }
    const running = [...this.running.values()].map((run) => [
      run.task,
      run.run,
      this.checkpointOf(run),
      this.percentOf(run),
      this.readingOf(run),
    ]);
    const finished = this.finished.slice(0, LISTED_ENDS_MAXIMUM);
    answer(response, 200, { clock_ms: this.clock(), born, running, finished });
  }

  /** Counts the work since it was last counted. A slow minion works `slowness` times as long. */
  doneMs(run) {
    const now = performance.now();
    run.workedMs += ((now - run.countedAt) * run.pace) / (FULL_PACE * this.slowness);
    run.countedAt = now;
    return run.workedMs;
  }

  /** A task that lasts is at work, at 100, after a short startup. */
  percentOf(run) {
    const percent = Math.floor((100 * this.doneMs(run)) / run.needs.ms);
    return Math.min(run.needs.lasts === true ? 100 : 99, percent);
  }

  /** Notes the tail latency of a task that serves, and the processor time in use of any other. */
  observe({ needs, pace, readings }) {
    readings.push(
      needs.tailMs === undefined ? (needs.cpu * pace) / FULL_PACE : needs.tailMs * this.slowness,
    );
    if (readings.length > READINGS) {
      readings.shift();
    }
  }

  /** The mean over the last half second; a task that has just begun has used nothing before. */
  readingOf({ needs, readings }) {
    const sum = readings.reduce((total, reading) => total + reading, 0);
    return Math.round(sum / (needs.tailMs === undefined ? READINGS : Math.max(1, readings.length)));
  }

  setPace({ task, run, percent }) {
    const found = this.running.get(`${task}#${run}`);
    if (found !== undefined) {
      this.doneMs(found);
      found.pace = percent;
      this.options.record('pace', { minion: this.options.id, task, run, percent });
    }
  }

  /** The work that is saved, in milliseconds; empty for a task that doesn't save any. */
  checkpointOf(run) {
    const { everyMs = 0 } = run.needs;
    const saved = everyMs === 0 ? 0 : Math.floor(this.doneMs(run) / everyMs) * everyMs;
    return saved === 0 ? '' : String(saved);
  }

  tick() {
    const now = performance.now();
    const hasLapsed = this.clock() > this.leaseUntil;
    for (const [key, run] of this.running) {
      if (hasLapsed) {
        this.end(key, run, 'lapsed');
      } else if (run.stopAt !== null && now >= run.stopAt) {
        this.end(key, run, 'stopped');
      } else if (
        run.stopAt === null &&
        run.needs.lasts !== true &&
        this.doneMs(run) >= run.needs.ms
      ) {
        this.end(key, run, 'done');
      }
    }
  }

  end(key, run, how) {
    this.running.delete(key);
    this.endNumber += 1;
    const saved = how === 'done' ? '' : this.checkpointOf(run);
    this.finished.push([this.endNumber, run.task, run.run, how, saved]);
    Object.assign(run.start, { endedAt: Date.now(), how });
    this.options.record('end', { minion: this.options.id, task: run.task, run: run.run, how });
  }
}
