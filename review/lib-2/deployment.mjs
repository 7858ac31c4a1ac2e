/**
 * A small deployment: the programs of the deploy file as separate processes, with the settings that its template makes,
 * beside stand-ins of the store and the minions. Everything listens on loopback addresses of its own.
 */
import { spawn } from 'node:child_process';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Minion } from './minion.mjs';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const FIRST_PORT = 7_720;
const RESTART_MS = 500;
export const HOST = 'labels.example';

/** The bounds of karaca-etiket in SYSTEM.md that the template of the settings names. */
const BOUNDS = { hold_max_ms: 10_000, config_ms: 2_500, status_s: 120, grace_s: 6 };

export function sleep(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

export async function freePort(host) {
  const server = createServer();
  await new Promise((resolve) => {
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Fills in the template as DEPLOY.md says; it uses plain values and values as JSON only. */
function fillTemplate(template, fields) {
  const find = (name) => name.split('.').reduce((value, key) => value?.[key], fields);
  return template.replaceAll(/\{\{([a-z_0-9.]+)(\|json)?\}\}/gu, (_, name, json) => {
    const value = find(name);
    return json === undefined ? String(value ?? '') : JSON.stringify(value ?? null);
  });
}

export class Deployment {
  store = new Store();

  minions = [];

  programs = new Map();

  constructor({ folder }) {
    this.recordFile = path.join(folder, 'record.txt');
    writeFileSync(this.recordFile, '');
    this.startedAt = Date.now();
    this.temporary = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    this.record = (what, fields = {}) => {
      const seconds = ((Date.now() - this.startedAt) / 1_000).toFixed(3);
      appendFileSync(this.recordFile, `${seconds} ${what} ${JSON.stringify(fields)}\n`);
    };
  }

  async start({ minions, configuration, adviser = null }) {
    await this.store.start(`${this.network}.2`);
    await adviser?.start(`${this.network}.3`, this.record);
    this.adviser = adviser;
    this.store.put('op', 'config', configuration);
    this.record('configuration', configuration);
    for (const [index, description] of minions.entries()) {
      await this.addSide(index + 1, description);
    }
    await this.addEdge(1);
  }

  async addSide(number, description) {
    const ip = `${this.network}.${10 + number}`;
    const control = `${ip}:${await freePort(ip)}`;
    const minion = new Minion({
      id: `i-${number}`,
      host: ip,
      port: await freePort(ip),
      controlAddress: control,
      zone: 'istanbul',
      holdMaximumMs: BOUNDS.hold_max_ms,
      record: this.record,
      ...description,
    });
    this.minions.push(minion);
    const listen = { control_addr: control };
    this.addProgram(`side-${number}`, 'node', { ip, listen, app: minion.address });
    await minion.start();
  }

  async addEdge(number) {
    const ip = `${this.network}.${200 + number}`;
    const listen = {
      frontend: `${ip}:${await freePort(ip)}`,
      ready: `${ip}:${await freePort(ip)}`,
    };
    this.frontend = listen.frontend;
    this.addProgram(`edge-${number}`, 'gateway', { ip, listen });
  }

  addProgram(name, role, fields) {
    const template = readFileSync(path.join(ROOT, 'deploy/settings.jsonc'), 'utf8');
    const file = path.join(this.temporary, `${name}.jsonc`);
    const settings = {
      node: name,
      zone: 'istanbul',
      port_range: [FIRST_PORT, FIRST_PORT + 15],
      platform: { address: this.store.address, row_bytes: 65_536 },
      bounds: BOUNDS,
      advice: this.adviser?.address,
      ...fields,
    };
    writeFileSync(file, fillTemplate(template, settings));
    this.programs.set(name, { name, role, file, process: null, isWanted: true, ends: [] });
    this.launch(name);
  }

  /** Starts the program with the command of the deploy file. It is started again when it ends. */
  launch(name) {
    const program = this.programs.get(name);
    const child = spawn(
      'node',
      ['--max-old-space-size=96', 'target/figjunction-platform.mjs', program.role],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          FIGJUNCTION_NODE_FILE: program.file,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    program.process = child;
    const log = path.join(this.temporary, `${name}.log`);
    child.stdout.on('data', (data) => appendFileSync(log, data));
    child.stderr.on('data', (data) => appendFileSync(log, data));
    this.record('process-started', { name, pid: child.pid });
    child.on('exit', (code, signal) => {
      program.ends.push({ code, signal });
      this.record('process-ended', { name, pid: child.pid, code, signal });
      if (program.isWanted) {
        setTimeout(() => program.isWanted && this.launch(name), RESTART_MS);
      }
    });
  }

  signal(name, signal) {
    this.record('signal', { name, signal });
    this.programs.get(name).process.kill(signal);
  }

  /** Sends one request of a client; answers `{ status, body }`, with status 0 when there is no answer. */
  request(method, requestPath, body, { timeoutMs = 3_000 } = {}) {
    const text = body === undefined ? '' : JSON.stringify(body);
    return new Promise((resolve) => {
      const done = (status, answered) => {
        this.record('request', { method, path: requestPath, status, answered });
        resolve({ status, body: answered });
      };
      const request = httpRequest(`http://${this.frontend}${requestPath}`, {
        method,
        agent: false,
        headers: {
          host: HOST,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
          'figjunction-request-deadline-ms': String(timeoutMs),
        },
      });
      const timer = setTimeout(() => request.destroy(new Error('deadline')), timeoutMs);
      request.on('response', (response) => {
        let answered = '';
        response.on('data', (chunk) => {
          answered += chunk;
        });
        response.on('end', () => {
          clearTimeout(timer);
          done(response.statusCode, answered === '' ? null : JSON.parse(answered));
        });
      });
      request.on('error', (error) => {
        clearTimeout(timer);
        done(0, error.message);
      });
      request.end(text);
    });
  }

  /** Sends the request until the status is one of these, as clients repeat a call that was refused or not answered. */
  async insist(method, requestPath, body, statuses, forMs = 20_000) {
    const until = Date.now() + forMs;
    for (;;) {
      const result = await this.request(method, requestPath, body);
      if (statuses.includes(result.status) || Date.now() >= until) {
        return result;
      }
      await sleep(200);
    }
  }

  /** Ends all processes that were started, and waits until they are gone. */
  async stop() {
    const ends = [];
    for (const program of this.programs.values()) {
      program.isWanted = false;
      const { process: child } = program;
      if (child.exitCode === null && child.signalCode === null) {
        ends.push(
          new Promise((resolve) => {
            child.on('exit', resolve);
          }),
        );
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    }
    await Promise.all(ends);
    this.minions.forEach((minion) => minion.crash());
    this.store.stop();
    this.adviser?.stop();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.temporary, { recursive: true });
    } else {
      process.stdout.write(`logs: ${this.temporary}\n`);
    }
  }
}
