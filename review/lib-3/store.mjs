/**
 * Stand-in for the platform's store, as PROTOCOL.md describes it: versioned rows in tables, transactions with
 * conditions, range reads and a feed of changes. It can be down, and it can lose the answers of transactions.
 */
import { once } from 'node:events';
import { createServer } from 'node:http';
import { readBody, sendJson } from './http.mjs';

const PAGE_ROWS = 500;
const ROWS_TX = '/v1/rows-tx';
const ROWS_GET = '/v1/rows-get';
const ROWS_FEED = '/v1/rows-feed';
const ROWS_PARTS = '/v1/rows-parts';

const rowId = ({ table, part = '', key }) => JSON.stringify([table, part, key]);

export class Store {
  constructor() {
    this.rows = new Map();
    this.version = 0;
    this.oldestVersion = 0;
    /** 'up', 'refuse' (503 to every call) or 'silent' (no answer, nothing done). */
    this.mode = 'up';
    /** Share of transactions that are carried out but whose answer is lost. */
    this.lostShare = 0;
    /** Share of the lost ones that are carried out only after `lateMs`, if their condition still holds. */
    this.lateShare = 0;
    this.lateMs = 2_000;
    this.random = Math.random;
    this.txMs = 3;
    this.listeners = new Set();
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
  }

  async start(host) {
    this.server.listen(0, host);
    await once(this.server, 'listening');
    this.address = `${host}:${this.server.address().port}`;
  }

  stop() {
    this.server.closeAllConnections();
    this.server.close();
  }

  put(table, key, value) {
    const encoded = Buffer.from(JSON.stringify(value)).toString('base64');
    this.apply({ writes: [{ table, key, value: encoded }] });
  }

  async handle(request, response) {
    const body = await readBody(request);
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    if (this.mode === 'silent') {
      return;
    }
    if (this.mode === 'refuse') {
      sendJson(response, 503, {});
      return;
    }
    if (pathname === ROWS_TX) {
      await this.handleTransaction(JSON.parse(body), response);
    } else if (pathname === ROWS_GET) {
      sendJson(response, 200, this.readRange(searchParams));
    } else if (pathname === ROWS_FEED) {
      await this.handleFeed(searchParams, response);
    } else if (pathname === ROWS_PARTS) {
      const parts = [...this.rows.values()]
        .filter((row) => row.table === searchParams.get('table') && !row.deleted)
        .map((row) => row.part);
      sendJson(response, 200, { parts: [...new Set(parts)].sort(), ...this.stamp() });
    } else {
      sendJson(response, 404, {});
    }
  }

  async handleTransaction(transaction, response) {
    await pause(this.txMs);
    if (this.random() < this.lostShare) {
      response.destroy();
      if (this.random() < this.lateShare) {
        await pause(this.lateMs);
      }
      this.execute(transaction);
      return;
    }
    const { status, body } = this.execute(transaction);
    sendJson(response, status, body);
  }

  execute(transaction) {
    const expected = transaction.expect_rev ?? [];
    if (expected.some((row) => this.versionOf(row) !== row.ver)) {
      const rows = expected
        .map((row) => this.rows.get(rowId(row)))
        .filter((row) => row !== undefined && !row.deleted);
      return { status: 412, body: { rows, ...this.stamp() } };
    }
    this.apply(transaction);
    return { status: 200, body: this.stamp() };
  }

  versionOf(row) {
    const found = this.rows.get(rowId(row));
    return found === undefined || found.deleted ? 0 : found.ver;
  }

  apply({ writes = [], remove = [] }) {
    this.version += 1;
    writes.forEach((row) => this.rows.set(rowId(row), { part: '', ...row, ver: this.version }));
    remove.forEach(({ table, part = '', key }) => {
      const row = { table, part, key, ver: this.version, deleted: true };
      this.rows.set(rowId(row), row);
    });
    [...this.listeners].forEach((notify) => notify());
  }

  readRange(query) {
    const from = query.get('from') ?? '';
    const until = query.get('target');
    const limit = Math.min(Number(query.get('limit') ?? PAGE_ROWS) || PAGE_ROWS, PAGE_ROWS);
    const all = [...this.rows.values()]
      .filter((row) => row.table === query.get('table') && row.part === (query.get('part') ?? ''))
      .filter(({ deleted, key }) => !deleted && key >= from && (until === null || key < until))
      .sort((left, right) => Buffer.compare(Buffer.from(left.key), Buffer.from(right.key)));
    return { rows: all.slice(0, limit), has_more: all.length > limit, ...this.stamp() };
  }

  async handleFeed(query, response) {
    const after = Number(query.get('after'));
    const table = query.get('table');
    if (after < this.oldestVersion) {
      sendJson(response, 410, this.stamp());
      return;
    }
    const changes = () =>
      [...this.rows.values()]
        .filter((row) => row.table === table && row.ver > after)
        .sort((left, right) => left.ver - right.ver);
    const end = Date.now() + Math.min(Number(query.get('wait_ms') ?? 0), 30_000);
    while (changes().length === 0 && Date.now() < end && !response.destroyed) {
      await this.nextChange(end - Date.now());
    }
    if (this.mode !== 'up') {
      response.destroy();
      return;
    }
    sendJson(response, 200, { rows: changes(), ...this.stamp() });
  }

  nextChange(waitMs) {
    return new Promise((resolve) => {
      let timer = null;
      const notify = () => {
        clearTimeout(timer);
        this.listeners.delete(notify);
        resolve();
      };
      timer = setTimeout(notify, Math.max(1, Math.min(waitMs, 1_000)));
      this.listeners.add(notify);
    });
  }

  stamp() {
    return { ver: this.version, now_ms: Math.floor(performance.now()) };
  }
}

function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
