/**
 * Whatever the table does, each submission takes effect at most once and its answer is true.
 */
import assert from 'node:assert/strict';
import { setImmediate as turn } from 'node:timers/promises';
import { test } from 'node:test';
import fc from 'fast-check';
import { ErrorCode } from '@figjunction/errors';
import { ManualClock, RandomSource } from '@figjunction/time';
import { MemoryTable } from '@figjunction/test-support';
import type { TableTransaction, TransactionResult, VersionedRow } from '@figjunction/types';
import { PlatformError } from './platform-error.js';
import { TableService } from './table-service.js';
import { WriteBatcher } from './write-batcher.js';
import { OVERTAKEN_VERSION } from './write-item.js';
import type { WriteOutcome } from './write-item.js';

enum Ending {
  Answered = 'answered',
  LostAfterEffect = 'lost-after-effect',
  LostBeforeEffect = 'lost-before-effect',
  /** The answer is lost and the transaction takes effect, or conflicts, later. */
  LostLandsLate = 'lost-lands-late',
  /** A foreign write follows the effect before anybody can read the row. */
  LostThenOvertaken = 'lost-then-overtaken',
  Outage = 'outage',
  Throttled = 'throttled',
}

interface Submission {
  id: number;
  outcome: WriteOutcome | null;
  error: PlatformError | null;
}

const SEED = 20_261_204;
const RUNS = 400;
const KEYS = ['k0', 'k1', 'k2', 'k3'];
const INTERVAL_MS = 100;
const STEP_MS = 40;
const LATE_STEPS = 4;
const SETTLING_STEPS = 400;

class ScriptedTable extends TableService {
  /** How often the write of each submission took effect, by its id. */
  readonly effects = new Map<number, number[]>();

  readonly startedAt: number[] = [];

  private readonly rows = new MemoryTable();

  private late: { transaction: TableTransaction; steps: number }[] = [];

  constructor(
    private readonly endings: Ending[],
    private readonly readEndings: boolean[],
    private readonly clock: ManualClock,
  ) {
    super();
  }

  currentVersion(key: string): number {
    return this.rows.read([key])[0]?.version ?? 0;
  }

  writeForeign(key: string): void {
    const writes = [
      { key, expectedVersion: this.currentVersion(key), value: { writeId: 'foreign' } },
    ];
    this.rows.transact({ checks: [], writes });
  }

  step(): void {
    this.late.forEach((one) => {
      one.steps -= 1;
    });
    const due = this.late.filter((one) => one.steps <= 0);
    this.late = this.late.filter((one) => one.steps > 0);
    due.forEach((one) => this.apply(one.transaction));
  }

  override read<Value>(keys: string[]): Promise<(VersionedRow<Value> | null)[]> {
    if (this.readEndings.shift() === false) {
      throw new PlatformError('down', { code: ErrorCode.Unavailable });
    }
    return Promise.resolve(this.rows.read(keys) as (VersionedRow<Value> | null)[]);
  }

  override scan(): never {
    throw new Error('the batcher does not scan');
  }

  override transact(transaction: TableTransaction): Promise<TransactionResult> {
    const keys = transaction.writes.map((write) => write.key);
    assert.equal(new Set(keys).size, keys.length, 'one key is in a transaction once');
    this.startedAt.push(this.clock.now());
    const ending = this.endings.shift() ?? Ending.Answered;
    switch (ending) {
      case Ending.Answered:
        return Promise.resolve(this.apply(transaction));
      case Ending.Outage:
        throw new PlatformError('down', { code: ErrorCode.Unavailable });
      case Ending.Throttled:
        throw new PlatformError('over the limit', { code: ErrorCode.Throttled });
      case Ending.LostBeforeEffect:
        break;
      case Ending.LostLandsLate:
        this.late.push({ transaction, steps: LATE_STEPS });
        break;
      default:
        this.apply(transaction);
        if (ending === Ending.LostThenOvertaken) {
          this.writeForeign(keys[0] ?? '');
        }
    }
    throw new PlatformError('no answer', { code: ErrorCode.OutcomeUnknown });
  }

  private apply(transaction: TableTransaction): TransactionResult {
    const result = this.rows.transact(transaction);
    if (result.committed) {
      transaction.writes.forEach((write, index) => {
        const { id } = write.value as { id: number };
        const versions = this.effects.get(id) ?? [];
        this.effects.set(id, [...versions, result.versions[index] ?? 0]);
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
const foreignStep = fc.record({
  kind: fc.constant('foreign' as const),
  key: fc.constantFrom(...KEYS),
});
const tickStep = fc.record({ kind: fc.constant('tick' as const) });
const scenario = fc.record({
  steps: fc.array(
    fc.oneof(
      { arbitrary: submitStep, weight: 4 },
      { arbitrary: foreignStep, weight: 1 },
      { arbitrary: tickStep, weight: 4 },
    ),
    { maxLength: 60 },
  ),
  endings: fc.array(fc.constantFrom(...Object.values(Ending)), { maxLength: 30 }),
  reads: fc.array(fc.boolean(), { maxLength: 20 }),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer Value> ? Value : never;

async function run({ steps, endings, reads }: Scenario): Promise<void> {
  const clock = new ManualClock();
  const table = new ScriptedTable([...endings], [...reads], clock);
  const random = new RandomSource(SEED);
  const batcher = new WriteBatcher({ table, clock, random, intervalMs: INTERVAL_MS });
  const submissions: Submission[] = [];
  const tick = async (): Promise<void> => {
    clock.advance(STEP_MS);
    table.step();
    await batcher.flush(clock.now());
    await turn();
  };
  for (const step of steps) {
    if (step.kind === 'submit') {
      submissions.push(submit(batcher, table, clock, submissions.length, step));
    } else if (step.kind === 'foreign') {
      table.writeForeign(step.key);
    } else {
      await tick();
    }
  }
  for (let count = 0; count < SETTLING_STEPS && batcher.pending > 0; count += 1) {
    await tick();
  }
  for (let count = 0; count <= LATE_STEPS; count += 1) {
    await tick();
  }
  submissions.forEach((submission) => checkTruth(submission, table));
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

function checkTruth(submission: Submission, table: ScriptedTable): void {
  const { id, outcome, error } = submission;
  const versions = table.effects.get(id) ?? [];
  assert.ok(versions.length <= 1, `submission ${id} took effect ${versions.length} times`);
  if (outcome?.applied) {
    assert.equal(versions.length, 1, `submission ${id} is called applied`);
    assert.ok([versions[0], OVERTAKEN_VERSION].includes(outcome.version));
  } else if (outcome !== null || error?.certainlyNoEffect) {
    assert.equal(versions.length, 0, `submission ${id} is called without effect`);
  } else {
    assert.equal(error?.code, ErrorCode.OutcomeUnknown, `submission ${id} is settled`);
  }
}

function checkIntervals(table: ScriptedTable): void {
  table.startedAt.forEach((start, index) => {
    const previous = table.startedAt[index - 1] ?? -INTERVAL_MS;
    assert.ok(start - previous >= INTERVAL_MS, 'transactions keep their interval');
  });
}

test('every submission is applied exactly once or reported truthfully', async () => {
  await fc.assert(fc.asyncProperty(scenario, run), { seed: SEED, numRuns: RUNS });
});
