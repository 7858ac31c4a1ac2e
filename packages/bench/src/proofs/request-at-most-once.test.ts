import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import fc from 'fast-check';
import { LinkFault } from './faulty-link.js';
import { answerOk } from './pair-agent.js';
import { RequestPair } from './request-pair.js';
import type { PairAgent, TargetBehaviour } from './pair-agent.js';

const SEED = 41;
const RUNS = 10;
const REQUESTS_PER_RUN = 16;
const AGENTS = 2;

const pair = new RequestPair();
let count = 0;

before(() => pair.start(AGENTS, 2));
after(() => pair.close());

const cutAfterWork: TargetBehaviour = (_request, response) => response.destroy();
const slow: TargetBehaviour = (request, response, body) => {
  setTimeout(() => answerOk(request, response, body), 60);
};
const TARGETS = [answerOk, answerOk, answerOk, slow, cutAfterWork];

const linkFault = fc.oneof(
  { weight: 3, arbitrary: fc.constant(LinkFault.None) },
  { weight: 4, arbitrary: fc.constantFrom(...Object.values(LinkFault)) },
);

const plans = fc.record({
  /** Consumed message by message, over all methods. */
  faults: fc.array(linkFault, { minLength: 60, maxLength: 60 }),
  targets: fc.array(fc.nat(TARGETS.length - 1), { minLength: 20, maxLength: 20 }),
  loseAnswers: fc.nat(3),
  restart: fc.boolean(),
});

interface Sent {
  body: string;
  withId: boolean;
  outcomes: string[];
}

function applyPlan(plan: { faults: LinkFault[]; targets: number[]; loseAnswers: number }): void {
  const faults = [...plan.faults];
  const targets = [...plan.targets];
  pair.platform.faults.loseAnswers = plan.loseAnswers;
  for (const agent of pair.agents) {
    agent.link.plan = () => faults.pop() ?? LinkFault.None;
    agent.target.behaviour = (request, response, body) =>
      (TARGETS[targets.pop() ?? 0] as TargetBehaviour)(request, response, body);
  }
}

/** Sends a request and, when it has an id, repeats it through the other entry. */
async function sendAndRepeat(withId: boolean): Promise<Sent> {
  count += 1;
  const body = `request ${count}`;
  const sent: Sent = { body, withId, outcomes: [] };
  for (let repeat = 0; repeat < (withId ? 3 : 1); repeat += 1) {
    const requestId = withId ? `id-${body.slice(8)}` : undefined;
    const entry = repeat % 2;
    const answer = await pair.send({ body, requestId, entry, timeoutMs: 800 });
    const outcome = String(answer.headers['figjunction-outcome']);
    if (outcome === 'completed') {
      assert.equal(answer.body.toString(), `answer to ${body}`);
    }
    sent.outcomes.push(outcome);
  }
  return sent;
}

// Guards against a retry, a late message or a second entry that runs a request twice, and against a
// "not run" for a request that ran.
test('random faults never run a request twice and never make "not run" untrue', async () => {
  const property = fc.asyncProperty(plans, async (plan) => {
    pair.announce();
    applyPlan(plan);
    const work = Array.from({ length: REQUESTS_PER_RUN }, (_one, index) =>
      sendAndRepeat(index % 2 === 0),
    );
    if (plan.restart) {
      await (pair.agents[0] as PairAgent).restart();
      pair.announce();
    }
    const all = await Promise.all(work);
    await Promise.all(pair.agents.map((agent) => agent.link.settle()));
    for (const { body, outcomes } of all) {
      const executions = pair.executions(body);
      assert.ok(executions <= 1, `${body} ran ${executions} times: ${outcomes.join(', ')}`);
      if (outcomes.every((outcome) => outcome === 'not-run')) {
        assert.equal(executions, 0, `${body} ran although it was said not to have run`);
      }
      const completed = outcomes.indexOf('completed');
      const later = outcomes.slice(completed + 1);
      assert.ok(completed < 0 || !later.includes('not-run'), `${body}: ${outcomes.join(', ')}`);
    }
  });
  await fc.assert(property, {
    seed: SEED,
    numRuns: RUNS,
    endOnFailure: true,
    includeErrorInReport: true,
  });
});
