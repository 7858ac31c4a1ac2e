/**
 * Stand-in of the platform's store, as PROTOCOL.md describes it: versioned rows, transactions under conditions and a
 * feed of changes. It is sound: it loses nothing and answers every call.
 */
import { createServer } from 'node:http';

const TRANSACTION_MS = 3;
const READ_MS = 1;
const PAGE_ROWS = 500;
const HISTORY_MS = 20_000;

function pause(milliseconds) {
  return new Promise((resolve) => {
    setTimeout(resolve, milliseconds);
  });
}

export async function readBody(request) {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

export function answer(response, status, body) {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

function idOf({ table, part = '', key }) {
  return JSON.stringify([table, part, key]);
}

function compareKeys(left, right) {
  return Buffer.compare(Buffer.from(left.key), Buffer.from(right.key));
}

export class Store {
  version = 0;

  rows = new Map();

  /** Changes in order, each with the time at which it was made. */
  history = [];

  forgottenThrough = 0;

  waiting = new Set();

  async start(host) {
    this.server = createServer((request, response) => {
      this.handle(request, response).catch((error) =>
        answer(response, 400, { message: `${error}` }),
      );
    });
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Writes a row as the operator does. */
  put(table, key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply({ writes: [{ table, key, value: encoded }] });
  }

  stamp() {
    return { ver: this.version, now_ms: Math.floor(performance.now()) };
  }

  apply({ writes = [], remove = [] }) {
    this.version += 1;
    const changed = [
      ...writes.map((row) => ({ part: '', ...row, ver: this.version })),
      ...remove
        .filter((row) => this.rows.has(idOf(row)))
        .map((row) => ({ part: '', ...row, ver: this.version, deleted: true })),
    ];
    for (const row of changed) {
      if (row.deleted === true) {
        this.rows.delete(idOf(row));
      } else {
        this.rows.set(idOf(row), row);
      }
      this.history.push({ row, at: performance.now() });
    }
    while (this.history.length > 0 && performance.now() - this.history[0].at > HISTORY_MS) {
      this.forgottenThrough = this.history.shift().row.ver;
    }
    this.waiting.forEach((wake) => wake());
  }

  async handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const { pathname: path, searchParams: query } = url;
    if (path === '/v1/rows-tx') {
      const body = JSON.parse(await readBody(request));
      await pause(TRANSACTION_MS);
      this.transact(body, response);
    } else if (path === '/v1/rows-get') {
      await pause(READ_MS);
      this.read(query, response);
    } else if (path === '/v1/rows-feed') {
      await this.feed(query, response);
    } else {
      answer(response, 404, {});
    }
  }

  transact(body, response) {
    const expected = body.expect_rev ?? [];
    const current = expected.map((row) => this.rows.get(idOf(row)) ?? { ...row, ver: 0 });
    if (current.some(({ ver }, index) => ver !== expected[index].ver)) {
      answer(response, 412, { rows: current, ...this.stamp() });
      return;
    }
    this.apply(body);
    answer(response, 200, this.stamp());
  }

  read(query, response) {
    const table = query.get('table');
    const part = query.get('part') ?? '';
    const from = query.get('from') ?? '';
    const until = query.get('target');
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS));
    const matching = [...this.rows.values()]
      .filter((row) => row.table === table && row.part === part && row.key >= from)
      .filter(({ key }) => until === null || key < until)
      .sort(compareKeys);
    const rows = matching.slice(0, limit);
    answer(response, 200, { rows, has_more: matching.length > rows.length, ...this.stamp() });
  }

  async feed(query, response) {
    const table = query.get('table');
    const after = Number(query.get('after'));
    const deadline = performance.now() + Number(query.get('wait_ms') ?? 0);
    const find = () =>
      this.history.map(({ row }) => row).filter((row) => row.table === table && row.ver > after);
    if (after < this.forgottenThrough) {
      answer(response, 410, this.stamp());
      return;
    }
    while (find().length === 0 && performance.now() < deadline && !response.destroyed) {
      await this.nextChange(deadline - performance.now());
    }
    answer(response, 200, { rows: find(), ...this.stamp() });
  }

  /** Waits for the next change, for this long at most. */
  nextChange(milliseconds) {
    return new Promise((resolve) => {
      const wake = () => {
        this.waiting.delete(wake);
        resolve();
      };
      this.waiting.add(wake);
      setTimeout(wake, milliseconds);
    });
  }
}
