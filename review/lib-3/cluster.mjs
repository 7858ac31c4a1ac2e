/**
 * A small deployment on loopback addresses: the gateway and node programs of the deploy file as processes, and the
 * stand-ins for the store, the minions and the clients in this process.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Board } from './board.mjs';
import { call } from './http.mjs';
import { Store } from './store.mjs';
import { Vm } from './vm.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const PROGRAM = ['--max-old-space-size=96', 'target/figjunction-platform.mjs'];
const QUEUE_HOST = 'kits.example';
const NETWORKS = 250;
const HOLD_MAXIMUM_MS = 6_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export class Cluster {
  constructor({
    recordFile,
    subnet = 1,
    gateways = 1,
    vms = 8,
    queue = {},
    vmOptions = () => ({}),
  }) {
    Object.assign(this, { gatewayCount: gateways, vmCount: vms, queue, vmOptions });
    this.prefix = `127.${1 + (process.pid % NETWORKS)}.${subnet}`;
    this.folder = mkdtempSync(path.join(tmpdir(), 'figjunction-case-'));
    this.board = new Board(recordFile);
    this.store = new Store();
    this.vms = [];
    this.programs = new Map();
    this.gateways = [];
  }

  async start() {
    await this.store.start(`${this.prefix}.1`);
    this.configure(1);
    for (let index = 1; index <= this.vmCount; index += 1) {
      await this.addNode(index);
    }
    for (let index = 1; index <= this.gatewayCount; index += 1) {
      await this.addGateway(index);
    }
    await this.waitUntilReady();
  }

  configure(version) {
    const route = {
      name: 'kits',
      host: QUEUE_HOST,
      prefix: '/kits/',
      service: 'planner',
      priority: 0,
      max_attempts: 3,
      slack_factor: 2,
      slo_ms: 1_000,
      ...this.queue,
    };
    const services = [{ name: 'planner', admission_check: true }];
    this.store.put('op', 'config', { version, routes: [route], services, limits: {} });
  }

  async addNode(index) {
    const host = `${this.prefix}.${10 + index}`;
    const reportsAddress = `${host}:${await findPort(host)}`;
    const vm = new Vm({
      name: `vm-${index}`,
      host,
      reportsAddress,
      service: 'planner',
      labels: ['a', `r${1 + (index % 3)}`],
      capacity: { cpu: 8_000, mem_mb: 32_000, gpu: 0 },
      board: this.board,
      holdMaximumMs: HOLD_MAXIMUM_MS,
      ...this.vmOptions(index),
    });
    await vm.start();
    this.vms.push(vm);
    await this.addProgram('node', `node-${index}`, host, {
      vmReportsAddress: reportsAddress,
      vmAddress: vm.address,
    });
  }

  async addGateway(index) {
    const host = `${this.prefix}.${200 + index}`;
    const callerAddress = `${host}:${await findPort(host)}`;
    const readinessAddress = `${host}:${await findPort(host)}`;
    this.gateways.push({ callerAddress, readinessAddress });
    await this.addProgram('gateway', `gateway-${index}`, host, { callerAddress, readinessAddress });
  }

  async addProgram(role, name, ip, addresses) {
    const settingsFile = path.join(this.folder, `${name}.jsonc`);
    const settings = {
      nodeId: name,
      ip,
      dataCentre: 'metsovo',
      firstPort: await findPort(ip),
      storeAddress: this.store.address,
      rowMaximumBytes: 65_536,
      adviserAddress: '',
      leaseMaximumMs: HOLD_MAXIMUM_MS,
      configurationWithinMs: 2_500,
      statusSeconds: 120,
      stopWithinSeconds: 6,
      ...addresses,
    };
    writeFileSync(settingsFile, JSON.stringify(settings));
    this.programs.set(name, { name, role, settingsFile, child: null, output: '' });
    this.launch(name);
  }

  launch(name) {
    const program = this.programs.get(name);
    if (program.child !== null || this.isStopped) {
      return;
    }
    const child = spawn(process.execPath, [...PROGRAM, program.role], {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        FIGJUNCTION_NODE_FILE: program.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    program.child = child;
    const keep = (chunk) => {
      program.output = (program.output + chunk).slice(-20_000);
    };
    child.stdout.on('data', keep);
    child.stderr.on('data', keep);
    program.exited = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        program.child = null;
        this.board.log('program ends', { name, code, signal });
        resolve();
      });
    });
    this.board.log('program starts', { name });
  }

  signal(name, signal) {
    this.board.log('signal', { name, signal });
    this.programs.get(name).child?.kill(signal);
  }

  async kill(name, downMs, signal = 'SIGKILL') {
    const program = this.programs.get(name);
    if (program.child === null) {
      return;
    }
    this.signal(name, signal);
    await program.exited;
    await sleep(downMs);
    this.launch(name);
  }

  async freeze(name, ms) {
    this.signal(name, 'SIGSTOP');
    await sleep(ms);
    this.signal(name, 'SIGCONT');
  }

  async waitUntilReady() {
    const end = Date.now() + 20_000;
    for (const { readinessAddress } of this.gateways) {
      let status = 0;
      while (status !== 200) {
        if (Date.now() > end) {
          throw new Error('a gateway is not ready');
        }
        const path_ = '/v1/readyz';
        ({ status } = await call({ address: readinessAddress, method: 'GET', path: path_ }));
        await sleep(100);
      }
    }
    // The scheduler takes its lease and the minions report.
    await sleep(3_000);
  }

  async request(method, id, { body = null, gateway = 0, timeoutMs = 3_000 } = {}) {
    const headers = {
      host: QUEUE_HOST,
      'figjunction-request-deadline-ms': String(timeoutMs),
    };
    const address = this.gateways[gateway].callerAddress;
    const answer = await call({ address, method, path: `/kits/${id}`, body, headers, timeoutMs });
    this.board.log('answer', { method, id, gateway, status: answer.status, body: answer.body });
    return answer;
  }

  /** Sends until there is a definite answer, like a client that retries at any gateway. */
  async submit(id, job, attempts = 5) {
    this.board.addJob(id, job);
    let status = 0;
    let canBeAccepted = false;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const gateway = attempt % this.gateways.length;
      ({ status } = await this.request('POST', id, { body: job.body, gateway }));
      if (status >= 200 && status < 300) {
        return { isAccepted: true, canBeAccepted: true };
      }
      canBeAccepted ||= status !== 429 && status !== 503;
      await sleep(300);
    }
    return { isAccepted: false, canBeAccepted };
  }

  async stop() {
    this.isStopped = true;
    for (const { child } of this.programs.values()) {
      child?.kill('SIGCONT');
      child?.kill('SIGKILL');
    }
    await Promise.all([...this.programs.values()].map(({ exited }) => exited));
    this.vms.forEach((vm) => vm.stop());
    this.store.stop();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

async function findPort(host) {
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
