/**
 * Start limits, quarantine of workers and holds of kinds after failures.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FailureHistory } from './failure-history.js';

const KINDS = ['a', 'b', 'c'];

function createQuarantinedHistory(): FailureHistory {
  const history = new FailureHistory();
  for (let failure = 0; failure < 6; failure += 1) {
    history.recordFailure('vm-1', KINDS[failure % KINDS.length] ?? '', 0);
  }
  return history;
}

test('quarantines a worker when three kinds fail in more than half of its recent outcomes', () => {
  const history = new FailureHistory();
  const becameQuarantined = Array.from({ length: 6 }, (_, index) =>
    history.recordFailure('vm-1', KINDS[index % KINDS.length] ?? '', 0),
  );
  assert.deepEqual(becameQuarantined, [false, false, false, false, false, true]);
  assert.deepEqual(history.listQuarantinedWorkers(), ['vm-1']);
});

// Guards against quarantining a worker because of kinds that fail on every worker.
test('failures of only two kinds do not quarantine a worker', () => {
  const history = new FailureHistory();
  for (let failure = 0; failure < 20; failure += 1) {
    history.recordFailure('vm-1', KINDS[failure % 2] ?? '', 0);
  }
  assert.deepEqual(history.listQuarantinedWorkers(), []);
});

test('a quarantined worker gets one probe task after 30 s, with delays doubling up to 10 min', () => {
  const history = createQuarantinedHistory();
  assert.equal(history.getStartAllowance('vm-1', 29_000).starts, 0);
  let now = 30_000;
  for (const delay of [30_000, 60_000, 120_000, 240_000, 480_000, 600_000, 600_000]) {
    assert.deepEqual(history.getStartAllowance('vm-1', now).starts, 1);
    history.recordStart('vm-1', 'a', now);
    assert.equal(history.getStartAllowance('vm-1', now + delay - 1).starts, 0);
    now += delay;
  }
});

test('one success ends a quarantine', () => {
  const history = createQuarantinedHistory();
  history.recordSuccess('vm-1', 'a');
  assert.equal(history.getStartAllowance('vm-1', 0).starts, Number.POSITIVE_INFINITY);
});

// Guards against a worker that fails tasks within milliseconds and drains the queue before its quarantine.
test('a worker on which two kinds failed gets one start at a time', () => {
  const history = new FailureHistory();
  history.recordFailure('vm-1', 'a', 0);
  assert.equal(history.getStartAllowance('vm-1', 0).starts, Number.POSITIVE_INFINITY);
  assert.equal(history.getStartsAllowedByKind('vm-1', 0).get('a'), 0);
  history.recordFailure('vm-1', 'b', 0);
  assert.equal(history.getStartAllowance('vm-1', 1_999).starts, 0);
  assert.equal(history.getStartAllowance('vm-1', 2_000).starts, 1);
});

// Guards against limits that last for hours because long tasks have not succeeded yet.
test('a suspected worker is no longer limited after ten minutes without a new failure', () => {
  const history = new FailureHistory();
  history.recordFailure('vm-1', 'a', 0);
  history.recordFailure('vm-1', 'b', 0);
  assert.equal(history.getStartAllowance('vm-1', 600_001).starts, Number.POSITIVE_INFINITY);
});

test('a kind is held after six failures on three workers without a success', () => {
  const history = new FailureHistory();
  for (let failure = 0; failure < 5; failure += 1) {
    history.recordFailure(`vm-${failure % 3}`, 'a', 0);
  }
  assert.equal(history.isKindFailing('a'), false);
  history.recordFailure('vm-0', 'a', 0);
  assert.equal(history.isKindFailing('a'), true);
  history.recordSuccess('vm-0', 'a');
  assert.equal(history.isKindFailing('a'), false);
});

test('a kind that fails on only two workers is not held', () => {
  const history = new FailureHistory();
  for (let failure = 0; failure < 20; failure += 1) {
    history.recordFailure(`vm-${failure % 2}`, 'a', 0);
  }
  assert.equal(history.isKindFailing('a'), false);
});
