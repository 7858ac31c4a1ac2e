/**
 * Every attempt this agent knows of. It is the one place that says whether an attempt started, so that
 * "not run" is a proof: an attempt that was cancelled or refused here never starts later.
 */
import type { Clock, Instant } from '@figjunction/time';
import { AttemptState, OutcomeCode } from '@figjunction/types';
import type {
  AttemptCancelResult,
  AttemptId,
  AttemptInquireResult,
  AttemptResult,
  EntryIncarnation,
} from '@figjunction/types';

/** Results are kept this long for entries whose connection broke. */
export const RESULT_KEEP_MS = 30_000;

/** Ended and cancelled attempts are remembered this long before the low-water mark covers them. */
export const RECORD_KEEP_MS = 60_000;

const RESULT_BYTES_MAXIMUM = 32 * 1024 * 1024;
const RECORDS_MAXIMUM = 50_000;

/** Entry incarnations with a mark; far more than entry restarts in the life of an agent process. */
const MARKS_MAXIMUM = 4_096;

export interface AttemptTableOptions {
  clock: Clock;
  resultKeepMs?: number;
  recordKeepMs?: number;
  resultBytesMaximum?: number;
  recordsMaximum?: number;
}

interface AttemptRecord {
  attempt: AttemptId;
  state: AttemptState;
  answer: Promise<AttemptResult> | null;
  result: AttemptResult | null;
  settledAt: Instant;
}

export class AttemptTable {
  private readonly running = new Map<string, AttemptRecord>();

  /** Ended and cancelled attempts in the order in which they settled. */
  private readonly settled = new Map<string, AttemptRecord>();

  /** Settled attempts whose body is still kept, oldest first. */
  private readonly bodies = new Map<string, AttemptRecord>();

  private bodyBytes = 0;

  private readonly marks = new Map<EntryIncarnation, number>();

  private readonly clock: Clock;

  private readonly resultKeepMs: number;

  private readonly recordKeepMs: number;

  private readonly resultBytesMaximum: number;

  private readonly recordsMaximum: number;

  constructor(options: AttemptTableOptions) {
    this.clock = options.clock;
    this.resultKeepMs = options.resultKeepMs ?? RESULT_KEEP_MS;
    this.recordKeepMs = options.recordKeepMs ?? RECORD_KEEP_MS;
    this.resultBytesMaximum = options.resultBytesMaximum ?? RESULT_BYTES_MAXIMUM;
    this.recordsMaximum = options.recordsMaximum ?? RECORDS_MAXIMUM;
  }

  runningCount(): number {
    return this.running.size;
  }

  /** Whether the attempt may have been here and is forgotten. */
  isExpired(attempt: AttemptId): boolean {
    const mark = this.marks.get(attempt.entryIncarnation) ?? 0;
    return attempt.sequence <= mark && this.find(attempt) === undefined;
  }

  /** The answer of an attempt that was here before; null for a new one. */
  answerOf(attempt: AttemptId): Promise<AttemptResult> | null {
    const record = this.find(attempt);
    if (record === undefined) {
      return null;
    }
    return record.answer ?? Promise.resolve(record.result as AttemptResult);
  }

  /** Runs a new attempt and remembers how it ended. `run` must not throw. */
  start(attempt: AttemptId, run: () => Promise<AttemptResult>): Promise<AttemptResult> {
    const record: AttemptRecord = {
      attempt,
      state: AttemptState.Running,
      answer: null,
      result: null,
      settledAt: 0,
    };
    this.running.set(keyOf(attempt), record);
    record.answer = run().then((result) => {
      this.running.delete(keyOf(attempt));
      record.answer = null;
      this.settle(record, AttemptState.Ended, result);
      return result;
    });
    return record.answer;
  }

  /** Remembers a refusal, so that a second copy of the message cannot start the attempt. */
  refuse(attempt: AttemptId, result: AttemptResult): void {
    const record = { attempt, answer: null, result, settledAt: 0, state: AttemptState.Cancelled };
    this.settle(record, AttemptState.Cancelled, result);
  }

  inquire(attempt: AttemptId): AttemptInquireResult {
    const record = this.find(attempt);
    if (record !== undefined) {
      return { attempt, state: record.state, result: record.result };
    }
    // Below the mark nothing is known of the attempt, so it must not be reported as unknown here.
    const state = this.isExpired(attempt) ? AttemptState.Ended : AttemptState.UnknownHere;
    return { attempt, state, result: null };
  }

  /** Records a cancellation unless the attempt started, or may have. */
  cancel(attempt: AttemptId, refusal: AttemptResult): AttemptCancelResult {
    const record = this.find(attempt);
    if (record === undefined && !this.isExpired(attempt)) {
      this.refuse(attempt, refusal);
      return { attempt, started: false, result: null };
    }
    const started = record?.state !== AttemptState.Cancelled;
    return { attempt, started, result: started ? (record?.result ?? null) : null };
  }

  /** Forgets what is old or over the limits. */
  sweep(): void {
    const now = this.clock.now();
    for (const [key, record] of this.bodies) {
      const old = now - record.settledAt >= this.resultKeepMs;
      if (!old && this.bodyBytes <= this.resultBytesMaximum) {
        break;
      }
      this.dropBody(key, record);
    }
    for (const [key, record] of this.settled) {
      const old = now - record.settledAt >= this.recordKeepMs;
      if (!old && this.settled.size <= this.recordsMaximum) {
        break;
      }
      this.forget(key, record);
    }
  }

  private find(attempt: AttemptId): AttemptRecord | undefined {
    const key = keyOf(attempt);
    return this.running.get(key) ?? this.settled.get(key);
  }

  private settle(record: AttemptRecord, state: AttemptState, result: AttemptResult): void {
    const key = keyOf(record.attempt);
    record.state = state;
    record.result = result;
    record.settledAt = this.clock.now();
    this.settled.set(key, record);
    if (result.bodyBase64 !== null) {
      this.bodies.set(key, record);
      this.bodyBytes += result.bodyBase64.length;
    }
    this.sweep();
  }

  private dropBody(key: string, record: AttemptRecord): void {
    this.bodies.delete(key);
    this.bodyBytes -= record.result?.bodyBase64?.length ?? 0;
    if (record.result !== null) {
      // The attempt ended as before, but what it answered is gone.
      record.result = {
        ...record.result,
        code: OutcomeCode.AnswerNotKept,
        message: 'the answer is no longer kept',
        bodyBase64: null,
      };
    }
  }

  private forget(key: string, record: AttemptRecord): void {
    const { entryIncarnation, sequence } = record.attempt;
    if (this.bodies.has(key)) {
      this.dropBody(key, record);
    }
    this.settled.delete(key);
    const mark = this.marks.get(entryIncarnation) ?? 0;
    this.marks.delete(entryIncarnation);
    this.marks.set(entryIncarnation, Math.max(mark, sequence));
    if (this.marks.size > MARKS_MAXIMUM) {
      const [oldest] = this.marks.keys();
      this.marks.delete(oldest as EntryIncarnation);
    }
  }
}

function keyOf(attempt: AttemptId): string {
  return `${attempt.entryIncarnation}/${attempt.sequence}`;
}
