/**
 * Guards against an entry that holds a state its agent never had, or that stays behind the agent, when
 * heartbeats with changes only are lost, doubled, delayed or overtaken, and either side restarts.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { HeartbeatComposer } from '@figjunction/agent';
import { HeartbeatReception, NO_BASE } from '@figjunction/types';
import { AGENT_ID, ENTRY, Exchange, SECTIONS, contentOf } from './heartbeat-link.test.js';

const SEED = 53;
const RUNS = 1_500;

const choice = fc.nat(30);
const step: fc.Arbitrary<(exchange: Exchange) => void> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.constantFrom(...SECTIONS).map((section) => (e: Exchange) => e.change(section)),
  },
  { weight: 8, arbitrary: fc.constant((e: Exchange) => e.round()) },
  { weight: 4, arbitrary: fc.constant((e: Exchange) => e.announce()) },
  {
    weight: 8,
    arbitrary: fc.tuple(choice, fc.boolean()).map(
      ([at, keep]) =>
        (e: Exchange) =>
          e.deliver(at, keep),
    ),
  },
  {
    weight: 8,
    arbitrary: fc.tuple(choice, fc.boolean()).map(
      ([at, keep]) =>
        (e: Exchange) =>
          e.answer(at, keep),
    ),
  },
  { weight: 2, arbitrary: choice.map((at) => (e: Exchange) => e.lose(at)) },
  { weight: 1, arbitrary: fc.constant((e: Exchange) => e.restartEntry()) },
  { weight: 1, arbitrary: fc.boolean().map((lease) => (e: Exchange) => e.restartAgent(lease)) },
  { weight: 1, arbitrary: fc.constant((e: Exchange) => e.takeIncarnation()) },
);

describe('heartbeats that carry changes only', () => {
  it('never give the entry a state that the agent did not have, and lead to the present one', () => {
    fc.assert(
      fc.property(fc.nat(1), fc.array(step, { minLength: 5, maxLength: 80 }), (first, steps) => {
        const exchange = new Exchange(first);
        steps.forEach((run) => run(exchange));
        exchange.settle();
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  interface FaultCase {
    name: string;
    /** What happens after the first heartbeat was taken and acknowledged, and the room changed. */
    fault: (exchange: Exchange) => void;
    expected: HeartbeatReception;
  }
  const cases: FaultCase[] = [
    { name: 'nothing', fault: () => {}, expected: HeartbeatReception.Taken },
    {
      name: 'the last heartbeat was lost',
      fault: (e) => {
        e.announce();
        e.lose(1);
      },
      expected: HeartbeatReception.Taken,
    },
    {
      name: 'the last answer was lost',
      fault: (e) => {
        e.announce();
        e.deliver(1, true);
        e.lose(1);
      },
      expected: HeartbeatReception.Taken,
    },
    {
      name: 'the entry restarted',
      fault: (e: Exchange) => e.restartEntry(),
      expected: HeartbeatReception.NeedsFull,
    },
    {
      name: 'the entry dropped the agent as silent',
      fault: (e: Exchange) => e.directory.remove(AGENT_ID),
      expected: HeartbeatReception.NeedsFull,
    },
    {
      name: 'the agent restarted',
      fault: (e: Exchange) => e.restartAgent(true),
      expected: HeartbeatReception.Taken,
    },
    {
      name: 'the agent restarted and has no lease yet',
      fault: (e: Exchange) => e.restartAgent(false),
      expected: HeartbeatReception.Outdated,
    },
    {
      name: 'the agent took a new incarnation',
      fault: (e: Exchange) => e.takeIncarnation(),
      expected: HeartbeatReception.Taken,
    },
    {
      name: 'the entry restarted and got a heartbeat from before the base',
      fault: (e: Exchange) => {
        e.round();
        e.restartEntry();
        e.deliver(0, false);
      },
      expected: HeartbeatReception.NeedsFull,
    },
    {
      name: 'the entry restarted and got a heartbeat of the earlier incarnation',
      fault: (e: Exchange) => {
        e.restartAgent(true);
        e.change('tasks');
        e.round();
        e.change('room');
        e.restartEntry();
        e.deliver(0, false);
      },
      expected: HeartbeatReception.NeedsFull,
    },
    {
      name: 'two processes without a lease spoke in turn',
      fault: (e: Exchange) => {
        e.restartEntry();
        e.restartAgent(false);
        e.announce();
        e.announce();
        e.restartAgent(false);
        e.change('tasks');
        e.round();
        // The second heartbeat of the first process.
        e.deliver(2, false);
        e.announce();
      },
      expected: HeartbeatReception.Taken,
    },
  ];
  for (const { name, fault, expected } of cases) {
    it(`answers "${expected}" to a change when ${name}`, () => {
      const exchange = new Exchange(1);
      exchange.round();
      exchange.change('room');
      fault(exchange);
      assert.equal(exchange.round(), expected);
      exchange.settle();
    });
  }

  it('state the base that the entry acknowledged and leave out what did not change', () => {
    const composer = new HeartbeatComposer();
    const numbers = { place: 1, room: 1, tasks: 1, instances: 1, usage: 1 };
    composer.update(contentOf(1, numbers));
    const first = composer.compose(ENTRY, '');
    assert.equal(first.base, NO_BASE);
    assert.deepEqual(Object.keys(first.sections).sort(), [...SECTIONS].sort());
    composer.recordReception(ENTRY, first, HeartbeatReception.Taken);
    composer.update(contentOf(1, { ...numbers, tasks: 2 }));
    const second = composer.compose(ENTRY, '');
    assert.equal(second.base, first.sequence);
    assert.deepEqual(Object.keys(second.sections).sort(), ['tasks']);
    const toOther = composer.compose('http://127.0.0.1:2', '');
    assert.equal(toOther.base, NO_BASE);
  });
});
