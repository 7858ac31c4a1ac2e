/**
 * HTTP interface of the fake worker: the paths of section 16.3 of the design, and `/control` for tests.
 */
import { HttpServer, readJson, sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { sleep } from '@figjunction/time';
import type {
  WorkerCheckpointParameters,
  WorkerLeaseParameters,
  WorkerStartParameters,
  WorkerStopParameters,
  WorkerThrottleParameters,
} from '@figjunction/types';
import { describeTask } from './fake-task.js';
import { FakeWorker } from './fake-worker.js';
import type { FakeWorkerOptions } from './fake-worker.js';
import type { WorkerFaults } from './worker-faults.js';

const BODY_BYTES_MAXIMUM = 4 * 1024 * 1024;

export interface WorkerServerOptions extends FakeWorkerOptions {
  port?: number;
}

export interface WorkerServer {
  worker: FakeWorker;
  server: HttpServer;
}

type Handler = (worker: FakeWorker, body: unknown, match: RouteMatch) => unknown;

export function createWorkerServer(options: WorkerServerOptions): WorkerServer {
  const { host = '127.0.0.1', port = 0 } = options;
  const worker = new FakeWorker(options);
  const routes = [...readRoutes(worker, options), ...taskRoutes(worker), ...controlRoutes(worker)];
  return { worker, server: new HttpServer({ host, port, routes }) };
}

function readRoutes(worker: FakeWorker, options: WorkerServerOptions): Route[] {
  const { workerId, capacity } = options;
  return [
    route(worker, 'GET', /^\/v1\/worker$/u, () => ({ workerId, capacity })),
    route(worker, 'GET', /^\/v1\/tasks$/u, () => ({
      tasks: [...worker.tasks.values()].map(describeTask),
    })),
    route(worker, 'GET', /^\/v1\/usage$/u, () => worker.usage.visible()),
  ];
}

function taskRoutes(worker: FakeWorker): Route[] {
  return [
    route(worker, 'POST', /^\/v1\/tasks$/u, (_worker, body) =>
      worker.start(body as WorkerStartParameters),
    ),
    route(worker, 'POST', /^\/v1\/leases$/u, (_worker, body) =>
      worker.extendLeases(body as WorkerLeaseParameters),
    ),
    route(worker, 'POST', taskPattern('checkpoint'), (_worker, body, match) =>
      worker.checkpoint(taskIdOf(match), body as WorkerCheckpointParameters),
    ),
    route(worker, 'POST', taskPattern('throttle'), (_worker, body, match) =>
      worker.throttle(taskIdOf(match), body as WorkerThrottleParameters),
    ),
    route(worker, 'POST', taskPattern('stop'), (_worker, body, match) =>
      worker.stop(taskIdOf(match), body as WorkerStopParameters),
    ),
  ];
}

function controlRoutes(worker: FakeWorker): Route[] {
  return [
    controlRoute('POST', /^\/control\/faults$/u, async (match) => {
      const body = await readJson(match.request, BODY_BYTES_MAXIMUM);
      return Object.assign(worker.faults, body as Partial<WorkerFaults>);
    }),
    controlRoute('GET', /^\/control\/log$/u, (match) =>
      worker.log.page(Number(match.query.get('after') ?? 0) || 0),
    ),
  ];
}

function taskPattern(command: string): RegExp {
  return new RegExp(`^/v1/tasks/(?<taskId>[^/]+)/${command}$`, 'u');
}

function taskIdOf(match: RouteMatch): string {
  return match.parameters.taskId ?? '';
}

/** A route of the product's interface, which the call delay applies to. */
function route(worker: FakeWorker, method: string, pattern: RegExp, handler: Handler): Route {
  return controlRoute(method, pattern, async (match) => {
    const body = method === 'POST' ? await readJson(match.request, BODY_BYTES_MAXIMUM) : null;
    if (worker.faults.callDelayMs > 0) {
      await sleep(worker.faults.callDelayMs);
    }
    return handler(worker, body, match);
  });
}

function controlRoute(
  method: string,
  pattern: RegExp,
  handler: (match: RouteMatch) => unknown,
): Route {
  return {
    method,
    pattern,
    async handle(match) {
      const result = await handler(match);
      sendJson(match.response, 200, result ?? {});
    },
  };
}
