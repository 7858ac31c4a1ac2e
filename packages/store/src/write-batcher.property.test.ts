/**
 * For any sequence of table failures, each submission takes effect at most once and its reported outcome is
 * correct.
 */
import assert from 'node:assert/strict';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import { ErrorCode } from '@figjunction/errors';
import { ManualClock, RandomSource } from '@figjunction/time';
import { MemoryTable } from '@figjunction/test-support';
import type { TableTransaction, TransactionResult, VersionedRow } from '@figjunction/types';
import { PlatformError } from './platform-error.js';
import { TableService } from './table-service.js';
import { WriteBatcher } from './write-batcher.js';
import { SUPERSEDED_VERSION } from './write-item.js';
import type { WriteOutcome } from './write-item.js';

/** What the table does with one transaction. */
enum ScriptedOutcome {
  Succeeds = 'succeeds',
  LostAfterCommit = 'lost-after-commit',
  LostBeforeCommit = 'lost-before-commit',
  /** The response is lost and the transaction is executed later; it then commits or conflicts. */
  LostAndDelayed = 'lost-and-delayed',
  /** The transaction commits, its response is lost, and another client overwrites the row at once. */
  LostThenSuperseded = 'lost-then-superseded',
  Outage = 'outage',
  Throttled = 'throttled',
}

interface Submission {
  id: number;
  outcome: WriteOutcome | null;
  error: PlatformError | null;
}

const SEED = 20_261_204;
const SCENARIO_COUNT = 400;
const KEYS = ['k0', 'k1', 'k2', 'k3'];
const INTERVAL_MS = 100;
const STEP_MS = 40;
const COMMIT_DELAY_STEPS = 4;
const SETTLING_STEPS = 400;

class ScriptedTable extends TableService {
  /** Row versions that the writes of each submission created, by its id. */
  readonly appliedVersions = new Map<number, number[]>();

  readonly transactionStarts: number[] = [];

  private readonly rows = new MemoryTable();

  private delayedTransactions: { transaction: TableTransaction; steps: number }[] = [];

  constructor(
    private readonly outcomes: ScriptedOutcome[],
    private readonly readSuccesses: boolean[],
    private readonly clock: ManualClock,
  ) {
    super();
  }

  currentVersion(key: string): number {
    return this.rows.read([key])[0]?.version ?? 0;
  }

  writeAsOtherClient(key: string): void {
    const writes = [
      { key, expectedVersion: this.currentVersion(key), value: { writeId: 'other-client' } },
    ];
    this.rows.transact({ checks: [], writes });
  }

  step(): void {
    this.delayedTransactions.forEach((delayed) => {
      delayed.steps -= 1;
    });
    const due = this.delayedTransactions.filter((delayed) => delayed.steps <= 0);
    this.delayedTransactions = this.delayedTransactions.filter((delayed) => delayed.steps > 0);
    due.forEach((delayed) => this.apply(delayed.transaction));
  }

  override read<Value>(keys: string[]): Promise<(VersionedRow<Value> | null)[]> {
    if (this.readSuccesses.shift() === false) {
      throw new PlatformError('table unavailable', { code: ErrorCode.Unavailable });
    }
    return Promise.resolve(this.rows.read(keys) as (VersionedRow<Value> | null)[]);
  }

  override scan(): never {
    throw new Error('unexpected scan: the batcher does not scan');
  }

  override transact(transaction: TableTransaction): Promise<TransactionResult> {
    const keys = transaction.writes.map((write) => write.key);
    assert.equal(new Set(keys).size, keys.length, 'a transaction writes each key at most once');
    this.transactionStarts.push(this.clock.now());
    const scripted = this.outcomes.shift() ?? ScriptedOutcome.Succeeds;
    switch (scripted) {
      case ScriptedOutcome.Succeeds:
        return Promise.resolve(this.apply(transaction));
      case ScriptedOutcome.Outage:
        throw new PlatformError('table unavailable', { code: ErrorCode.Unavailable });
      case ScriptedOutcome.Throttled:
        throw new PlatformError('rate limit exceeded', { code: ErrorCode.Throttled });
      case ScriptedOutcome.LostBeforeCommit:
        break;
      case ScriptedOutcome.LostAndDelayed:
        this.delayedTransactions.push({ transaction, steps: COMMIT_DELAY_STEPS });
        break;
      default:
        this.apply(transaction);
        if (scripted === ScriptedOutcome.LostThenSuperseded) {
          this.writeAsOtherClient(keys[0] ?? '');
        }
    }
    throw new PlatformError('no response', { code: ErrorCode.OutcomeUnknown });
  }

  private apply(transaction: TableTransaction): TransactionResult {
    const result = this.rows.transact(transaction);
    if (result.committed) {
      transaction.writes.forEach((write, index) => {
        const { id } = write.value as { id: number };
        const versions = this.appliedVersions.get(id) ?? [];
        this.appliedVersions.set(id, [...versions, result.versions[index] ?? 0]);
      });
    }
    return result;
  }
}

const submitStep = fc.record({
  kind: fc.constant('submit' as const),
  key: fc.constantFrom(...KEYS),
  isStale: fc.boolean(),
  checkedKey: fc.option(fc.constantFrom(...KEYS)),
  deadlineMs: fc.integer({ min: 1, max: 2_000 }),
});
const otherClientStep = fc.record({
  kind: fc.constant('other-client' as const),
  key: fc.constantFrom(...KEYS),
});
const tickStep = fc.record({ kind: fc.constant('tick' as const) });
const scenario = fc.record({
  steps: fc.array(
    fc.oneof(
      { arbitrary: submitStep, weight: 4 },
      { arbitrary: otherClientStep, weight: 1 },
      { arbitrary: tickStep, weight: 4 },
    ),
    { maxLength: 60 },
  ),
  outcomes: fc.array(fc.constantFrom(...Object.values(ScriptedOutcome)), { maxLength: 30 }),
  readSuccesses: fc.array(fc.boolean(), { maxLength: 20 }),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer Value> ? Value : never;

async function runScenario({ steps, outcomes, readSuccesses }: Scenario): Promise<void> {
  const clock = new ManualClock();
  const table = new ScriptedTable([...outcomes], [...readSuccesses], clock);
  const random = new RandomSource(SEED);
  const batcher = new WriteBatcher({ table, clock, random, intervalMs: INTERVAL_MS });
  const submissions: Submission[] = [];
  const tick = async (): Promise<void> => {
    clock.advance(STEP_MS);
    table.step();
    await batcher.flush(clock.now());
    await yieldToEventLoop();
  };
  for (const step of steps) {
    if (step.kind === 'submit') {
      submissions.push(submit(batcher, table, clock, submissions.length, step));
    } else if (step.kind === 'other-client') {
      table.writeAsOtherClient(step.key);
    } else {
      await tick();
    }
  }
  for (let count = 0; count < SETTLING_STEPS && batcher.pendingCount > 0; count += 1) {
    await tick();
  }
  for (let count = 0; count <= COMMIT_DELAY_STEPS; count += 1) {
    await tick();
  }
  submissions.forEach((submission) => checkReportedOutcome(submission, table));
  checkIntervals(table);
}

function submit(
  batcher: WriteBatcher,
  table: ScriptedTable,
  clock: ManualClock,
  id: number,
  step: { key: string; isStale: boolean; checkedKey: string | null; deadlineMs: number },
): Submission {
  const submission: Submission = { id, outcome: null, error: null };
  const { key, isStale, checkedKey, deadlineMs } = step;
  batcher
    .submit({
      key,
      expectedVersion: table.currentVersion(key) + (isStale ? 1 : 0),
      value: { id },
      checks:
        checkedKey === null || checkedKey === key
          ? []
          : [{ key: checkedKey, version: table.currentVersion(checkedKey) }],
      deadline: clock.now() + deadlineMs,
    })
    .then(
      (outcome) => {
        submission.outcome = outcome;
      },
      (error: PlatformError) => {
        submission.error = error;
      },
    );
  return submission;
}

function checkReportedOutcome(submission: Submission, table: ScriptedTable): void {
  const { id, outcome, error } = submission;
  const versions = table.appliedVersions.get(id) ?? [];
  assert.ok(versions.length <= 1, `submission ${id} took effect ${versions.length} times`);
  if (outcome?.applied) {
    assert.equal(versions.length, 1, `submission ${id} is reported as applied`);
    assert.ok([versions[0], SUPERSEDED_VERSION].includes(outcome.version));
  } else if (outcome !== null || error?.hasNoEffect) {
    assert.equal(versions.length, 0, `submission ${id} is reported as having no effect`);
  } else {
    assert.equal(error?.code, ErrorCode.OutcomeUnknown, `submission ${id} is settled`);
  }
}

function checkIntervals(table: ScriptedTable): void {
  table.transactionStarts.forEach((start, index) => {
    const previous = table.transactionStarts[index - 1] ?? -INTERVAL_MS;
    assert.ok(start - previous >= INTERVAL_MS, 'transactions start at least one interval apart');
  });
}

test('every submission takes effect at most once and its outcome is reported correctly', async () => {
  await fc.assert(fc.asyncProperty(scenario, runScenario), { seed: SEED, numRuns: SCENARIO_COUNT });
});
