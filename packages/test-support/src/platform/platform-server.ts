/**
 * HTTP interface of the fake platform: the paths of section 16.2 of the design, and `/control` for tests.
 */
import { HttpServer, readBody, readJson, sendJson } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { ErrorCode } from '@figjunction/errors';
import type { TableScanParameters, TableTransaction } from '@figjunction/types';
import { FakeCallEnding, FakePlatform } from './fake-platform.js';
import type { FakeCall } from './fake-platform.js';
import type { PlatformFaults } from './platform-faults.js';

const BODY_BYTES_MAXIMUM = 16 * 1024 * 1024;
const OBJECT_PATTERN = /^\/objects\/(?<key>.+)$/u;

export interface PlatformServerOptions {
  platform?: FakePlatform;
  host?: string;
  port?: number;
}

export function createPlatformServer(options: PlatformServerOptions = {}): HttpServer {
  const { platform = new FakePlatform(), host = '127.0.0.1', port = 0 } = options;
  return new HttpServer({
    host,
    port,
    routes: [...tableRoutes(platform), ...objectRoutes(platform), ...controlRoutes(platform)],
  });
}

function tableRoutes(platform: FakePlatform): Route[] {
  return [
    jsonRoute('/table/read', async (body, match) => {
      const call = await platform.read((body as { keys: string[] }).keys);
      answer(match, call, (rows) => sendRows(platform, match, { rows }));
    }),
    jsonRoute('/table/scan', async (body, match) => {
      const call = await platform.scan(body as TableScanParameters);
      answer(match, call, (page) => sendRows(platform, match, page));
    }),
    jsonRoute('/table/transact', async (body, match) => {
      const call = await platform.transact(body as TableTransaction);
      answer(match, call, (result) => {
        if (result.committed) {
          sendJson(match.response, 200, { versions: result.versions });
        } else {
          const { failedKeys } = result;
          const message = 'a row has another version';
          sendJson(match.response, 409, { code: ErrorCode.Conflict, message, failedKeys });
        }
      });
    }),
  ];
}

function objectRoutes(platform: FakePlatform): Route[] {
  return [
    {
      method: 'PUT',
      pattern: OBJECT_PATTERN,
      async handle(match) {
        const body = await readBody(match.request, BODY_BYTES_MAXIMUM);
        const call = await platform.putObject(objectKey(match), body);
        answer(match, call, () => sendJson(match.response, 200, {}));
      },
    },
    {
      method: 'GET',
      pattern: OBJECT_PATTERN,
      async handle(match) {
        const call = await platform.getObject(objectKey(match));
        answer(match, call, (body) => sendObject(match, body));
      },
    },
    {
      method: 'DELETE',
      pattern: OBJECT_PATTERN,
      async handle(match) {
        const call = await platform.removeObject(objectKey(match));
        answer(match, call, () => sendJson(match.response, 200, {}));
      },
    },
  ];
}

function controlRoutes(platform: FakePlatform): Route[] {
  return [
    jsonRoute('/control/faults', (body, match) => {
      Object.assign(platform.faults, body as Partial<PlatformFaults>);
      sendJson(match.response, 200, platform.faults);
      return Promise.resolve();
    }),
    jsonRoute('/control/stats/reset', (_body, match) => {
      platform.resetStats();
      sendJson(match.response, 200, platform.stats);
      return Promise.resolve();
    }),
    {
      method: 'GET',
      pattern: /^\/control\/stats$/u,
      handle(match) {
        sendJson(match.response, 200, platform.stats);
        return Promise.resolve();
      },
    },
  ];
}

function jsonRoute(
  path: string,
  handle: (body: unknown, match: RouteMatch) => Promise<void>,
): Route {
  return {
    method: 'POST',
    pattern: new RegExp(`^${path}$`, 'u'),
    async handle(match) {
      await handle(await readJson(match.request, BODY_BYTES_MAXIMUM), match);
    },
  };
}

function objectKey(match: RouteMatch): string {
  return match.parameters.key ?? '';
}

/** Sends an answer of a read and counts its bytes. */
function sendRows(platform: FakePlatform, { response }: RouteMatch, body: unknown): void {
  const text = Buffer.from(JSON.stringify(body));
  platform.countTableBytes(text.length);
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': text.length });
  response.end(text);
}

function sendObject(match: RouteMatch, body: Buffer | null): void {
  if (body === null) {
    sendJson(match.response, 404, { code: ErrorCode.NotFound, message: 'no such object' });
    return;
  }
  match.response.writeHead(200, {
    'content-type': 'application/octet-stream',
    'content-length': body.length,
  });
  match.response.end(body);
}

function answer<Result>(
  match: RouteMatch,
  call: FakeCall<Result>,
  send: (result: Result) => void,
): void {
  const { response, request } = match;
  switch (call.ending) {
    case FakeCallEnding.Outage:
      sendJson(response, 503, { code: ErrorCode.Unavailable, message: 'the platform is down' });
      break;
    case FakeCallEnding.Throttled:
      sendJson(response, 429, { code: ErrorCode.Throttled, message: 'over the rate limit' });
      break;
    case FakeCallEnding.AnswerLost:
      request.socket.destroy();
      break;
    default:
      send(call.result as Result);
  }
}
