import assert from 'node:assert/strict';
import { after, before, beforeEach, test } from 'node:test';
import { waitUntil } from '@figjunction/test-support';
import { ClaimState } from '@figjunction/types';
import { LinkFault } from './faulty-link.js';
import { answerOk } from './pair-agent.js';
import { RequestPair } from './request-pair.js';
import type { PairAgent, TargetBehaviour } from './pair-agent.js';

const pair = new RequestPair();
let count = 0;

function theAgent(): PairAgent {
  return pair.agents[0] as PairAgent;
}

before(() => pair.start(1, 2));

beforeEach(() => {
  theAgent().link.plan = () => LinkFault.None;
  theAgent().target.behaviour = answerOk;
  pair.platform.faults.outage = false;
  pair.platform.faults.loseAnswers = 0;
});

after(() => pair.close());

function uniqueBody(): string {
  count += 1;
  return `request ${count}`;
}

/** Applies the fault to the first `attempt.run` only. */
function faultOnce(fault: LinkFault): void {
  let used = false;
  theAgent().link.plan = (method) => {
    if (used || method !== 'attempt.run') {
      return LinkFault.None;
    }
    used = true;
    return fault;
  };
}

// Guards against outcomes that are guessed: each fault must end in what really happened.
for (const fault of Object.values(LinkFault)) {
  test(`a call with fault ${fault} runs the request exactly once and answers it`, async () => {
    const body = uniqueBody();
    faultOnce(fault);
    const answer = await pair.send({ body });
    await theAgent().link.settle();
    assert.equal(answer.headers['figjunction-outcome'], 'completed');
    assert.equal(answer.body.toString(), `answer to ${body}`);
    assert.equal(pair.executions(body), 1);
  });
}

const cutAtOnce: TargetBehaviour = (_request, response) => response.destroy();
const truncate: TargetBehaviour = (_request, response) => {
  response.writeHead(200, { 'content-length': 100 });
  response.write('part', () => response.destroy());
};
const withoutLength: TargetBehaviour = (_request, response) => {
  response.socket?.end('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nperhaps all');
};
const silent: TargetBehaviour = () => {};

const TARGET_FAULTS = [
  { name: 'cuts the connection', behaviour: cutAtOnce, code: 'connection-lost' },
  { name: 'truncates the answer', behaviour: truncate, code: 'connection-lost' },
  { name: 'answers without a length', behaviour: withoutLength, code: 'target-failed' },
  { name: 'never answers', behaviour: silent, code: 'timed-out' },
];

// Guards against a truncated body passed on as whole, and against "not run" for work that ran.
for (const { name, behaviour, code } of TARGET_FAULTS) {
  test(`a target that ${name} makes the outcome unknown`, async () => {
    const body = uniqueBody();
    theAgent().target.behaviour = behaviour;
    const answer = await pair.send({ body, timeoutMs: 600 });
    const parsed = JSON.parse(answer.body.toString()) as { outcome: string; code: string };
    assert.equal(answer.status, 504);
    assert.deepEqual([parsed.outcome, parsed.code], ['unknown', code]);
    assert.equal(pair.executions(body), 1);
  });
}

test('an agent that restarted during the attempt makes the outcome unknown', async () => {
  const body = uniqueBody();
  theAgent().target.behaviour = silent;
  const answered = pair.send({ body, timeoutMs: 4_000 });
  while (pair.executions(body) === 0) {
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
  await theAgent().restart();
  const answer = await answered;
  assert.equal(answer.headers['figjunction-outcome'], 'unknown');
  assert.equal(pair.executions(body), 1);
});

test('an agent that restarted before the attempt refuses it as not run', async () => {
  const body = uniqueBody();
  await theAgent().restart();
  const refused = await pair.send({ body, timeoutMs: 300 });
  assert.equal(refused.headers['figjunction-outcome'], 'not-run');
  assert.equal(pair.executions(body), 0);
  pair.announce();
  assert.equal((await pair.send({ body })).status, 200);
});

test('bad input is refused with its own status and nothing runs', async () => {
  const body = uniqueBody();
  const cases: [number, string, Record<string, string>][] = [
    [400, 'bad-request', { 'figjunction-timeout-ms': '0' }],
    [400, 'bad-request', { 'figjunction-idempotent': 'maybe' }],
    [400, 'bad-request', { 'figjunction-request-id': 'two words' }],
    [401, 'unauthenticated', { authorization: 'Bearer nobody' }],
    [403, 'forbidden', { 'figjunction-urgency': 'unheard-of' }],
  ];
  for (const [status, code, headers] of cases) {
    const answer = await pair.send({ body, headers });
    const parsed = JSON.parse(answer.body.toString()) as Record<string, string>;
    assert.deepEqual([answer.status, parsed.code, parsed.outcome], [status, code, 'not-run']);
    assert.ok(parsed.message && parsed.requestId);
  }
  const large = await pair.send({ body: 'x'.repeat(1024 * 1024 + 1) });
  assert.equal(large.status, 413);
  assert.equal(pair.executions(body), 0);
});

test('a repetition through another entry gets the stored answer', async () => {
  const body = uniqueBody();
  const requestId = `id-${body.replace(' ', '-')}`;
  const first = await pair.send({ body, requestId });
  const again = await pair.send({ body, requestId, entry: 1 });
  assert.equal(again.body.toString(), first.body.toString());
  assert.equal(pair.executions(body), 1);
  const other = await pair.send({ body: uniqueBody(), requestId, entry: 1 });
  assert.equal(other.status, 409);
});

test('two requests with one id in flight at once run once', async () => {
  const body = uniqueBody();
  const requestId = `id-${body.replace(' ', '-')}`;
  theAgent().target.behaviour = (request, response, text) => {
    setTimeout(() => answerOk(request, response, text), 100);
  };
  const answers = await Promise.all(
    [0, 0, 1, 1].map((entry) => pair.send({ body, requestId, entry })),
  );
  assert.equal(pair.executions(body), 1);
  for (const answer of answers) {
    assert.equal(answer.body.toString(), `answer to ${body}`);
  }
});

test('a claim whose answer was lost is found by its write id', async () => {
  const body = uniqueBody();
  pair.platform.faults.loseAnswers = 1;
  const answer = await pair.send({ body, requestId: `id-${count}` });
  assert.equal(answer.status, 200);
  assert.equal(pair.executions(body), 1);
});

test('during a table outage requests with an id are not run and those without go on', async () => {
  const body = uniqueBody();
  pair.platform.faults.outage = true;
  const refused = await pair.send({ body, requestId: `id-${count}` });
  assert.equal(refused.status, 503);
  assert.equal(pair.executions(body), 0);
  assert.equal((await pair.send({ body })).status, 200);
});

// Guards against "not run" for a request that ran, when the table cannot tell any more.
test('a repetition during a table outage still finds what this entry sent', async () => {
  const body = uniqueBody();
  const requestId = `id-${count}`;
  assert.equal((await pair.send({ body, requestId })).status, 200);
  pair.platform.faults.outage = true;
  const again = await pair.send({ body, requestId });
  assert.equal(again.body.toString(), `answer to ${body}`);
  assert.equal(pair.executions(body), 1);
});

test('an answer over 16 KB is answered whole once and then as not kept', async () => {
  const body = uniqueBody();
  const requestId = `id-${count}`;
  theAgent().target.behaviour = (_request, response) => {
    response.writeHead(200, { 'content-length': 20_000 });
    response.end('x'.repeat(20_000));
  };
  assert.equal((await pair.send({ body, requestId })).body.length, 20_000);
  await waitUntil(async () => {
    const [row] = await pair.readClaim(requestId);
    return row?.value.state === ClaimState.Completed;
  });
  const again = await pair.send({ body, requestId, entry: 1 });
  assert.equal(again.headers['figjunction-outcome'], 'completed');
  assert.equal(again.headers['figjunction-code'], 'answer-not-kept');
  assert.equal(again.body.length, 0);
});
