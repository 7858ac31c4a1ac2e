/**
 * Stand-in of the advice service, as PROTOCOL.md describes it: it handles one call at a time for each calling machine,
 * in turn, and answers after `decide_ms` and `each_ms` for each worker named. Its policy allows every minion that it
 * is asked about; a ticket is valid for all tasks of the step for `valid_ms`.
 */
import { createServer } from 'node:http';
import { answer, readBody } from './store.mjs';

const WAITING_MAXIMUM = 32;

export class Adviser {
  calls = 0;

  tickets = new Map();

  queues = new Map();

  constructor({ decide_ms: decideMs, each_ms: eachMs, valid_ms: validMs }) {
    Object.assign(this, { decideMs, eachMs, validMs });
  }

  async start(host, record) {
    this.record = record;
    this.server = createServer((request, response) => {
      this.handle(request, response).catch(() => response.destroy());
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

  async handle(request, response) {
    const { step, workers } = JSON.parse(await readBody(request));
    const caller = request.socket.remoteAddress;
    const queue = this.queues.get(caller) ?? { waiting: 0, last: Promise.resolve() };
    this.queues.set(caller, queue);
    if (queue.waiting >= WAITING_MAXIMUM) {
      answer(response, 429, {});
      return;
    }
    queue.waiting += 1;
    queue.last = queue.last.then(async () => {
      await new Promise((resolve) => {
        setTimeout(resolve, this.decideMs + this.eachMs * workers.length);
      });
      queue.waiting -= 1;
      answer(response, 200, { granted: workers.map((id) => [id, this.issue(step, id)]) });
    });
    await queue.last;
  }

  issue(step, worker) {
    this.calls += 1;
    const ticket = `t${this.calls}`;
    this.tickets.set(ticket, { step, worker, until: performance.now() + this.validMs });
    this.record('ticket', { step, worker, ticket });
    return ticket;
  }

  isValid(ticket, task, worker) {
    const { step, worker: of, until } = this.tickets.get(ticket) ?? {};
    const isOfStep = step === task.slice(0, task.lastIndexOf('.'));
    return isOfStep && of === worker && performance.now() < until;
  }
}
