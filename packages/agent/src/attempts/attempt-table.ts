/**
 * Records of the attempts on this agent. Only this table decides whether an attempt started, so "not run" is
 * a proof: an attempt that was cancelled or refused here never starts later. Records are removed after a
 * time; per entry incarnation, a low-water mark then covers every sequence up to the highest one removed.
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

/** How long results are kept for entries that lost their connection. */
export const RESULT_RETENTION_MS = 30_000;

/** How long records of ended and cancelled attempts are kept before the low-water mark replaces them. */
export const RECORD_RETENTION_MS = 60_000;

const RESULT_BYTES_MAXIMUM = 32 * 1024 * 1024;
const RECORDS_MAXIMUM = 50_000;

/** Entry incarnations with a low-water mark; far more than the entry restarts that one agent process sees. */
const LOW_WATER_MARKS_MAXIMUM = 4_096;

export interface AttemptTableOptions {
  clock: Clock;
  resultRetentionMs?: number;
  recordRetentionMs?: number;
  resultBytesMaximum?: number;
  recordsMaximum?: number;
}

interface AttemptRecord {
  attempt: AttemptId;
  state: AttemptState;
  /** Set while the attempt runs. */
  pendingResult: Promise<AttemptResult> | null;
  result: AttemptResult | null;
  settledAt: Instant;
}

export class AttemptTable {
  private readonly running = new Map<string, AttemptRecord>();

  /** Ended and cancelled attempts, in the order in which they ended or were cancelled. */
  private readonly settled = new Map<string, AttemptRecord>();

  /** Ended attempts whose response body is still kept, oldest first. */
  private readonly recordsWithBody = new Map<string, AttemptRecord>();

  /** Total length of the kept bodies as base64 text. */
  private bodyBytes = 0;

  /** Highest sequence of a removed record by entry incarnation, in the order of the last removal. */
  private readonly lowWaterMarks = new Map<EntryIncarnation, number>();

  private readonly clock: Clock;

  private readonly resultRetentionMs: number;

  private readonly recordRetentionMs: number;

  private readonly resultBytesMaximum: number;

  private readonly recordsMaximum: number;

  constructor(options: AttemptTableOptions) {
    this.clock = options.clock;
    this.resultRetentionMs = options.resultRetentionMs ?? RESULT_RETENTION_MS;
    this.recordRetentionMs = options.recordRetentionMs ?? RECORD_RETENTION_MS;
    this.resultBytesMaximum = options.resultBytesMaximum ?? RESULT_BYTES_MAXIMUM;
    this.recordsMaximum = options.recordsMaximum ?? RECORDS_MAXIMUM;
  }

  runningCount(): number {
    return this.running.size;
  }

  /** Whether the attempt may have arrived here before and its record was removed. */
  isExpired(attempt: AttemptId): boolean {
    const mark = this.lowWaterMarks.get(attempt.entryIncarnation) ?? 0;
    return attempt.sequence <= mark && this.find(attempt) === undefined;
  }

  /** The result of an attempt that arrived before, pending while it runs; null for a new attempt. */
  findResult(attempt: AttemptId): Promise<AttemptResult> | null {
    const record = this.find(attempt);
    if (record === undefined) {
      return null;
    }
    return record.pendingResult ?? Promise.resolve(record.result as AttemptResult);
  }

  /** Runs a new attempt and records its result. `run` must not throw. */
  start(attempt: AttemptId, run: () => Promise<AttemptResult>): Promise<AttemptResult> {
    const record: AttemptRecord = {
      attempt,
      state: AttemptState.Running,
      pendingResult: null,
      result: null,
      settledAt: 0,
    };
    this.running.set(buildKey(attempt), record);
    record.pendingResult = run().then((result) => {
      this.running.delete(buildKey(attempt));
      record.pendingResult = null;
      this.settle(record, AttemptState.Ended, result);
      return result;
    });
    return record.pendingResult;
  }

  /** Records a refusal, so that a second copy of the message cannot start the attempt. */
  refuse(attempt: AttemptId, result: AttemptResult): void {
    const record = {
      attempt,
      pendingResult: null,
      result,
      settledAt: 0,
      state: AttemptState.Cancelled,
    };
    this.settle(record, AttemptState.Cancelled, result);
  }

  inquire(attempt: AttemptId): AttemptInquireResult {
    const record = this.find(attempt);
    if (record !== undefined) {
      return { attempt, state: record.state, result: record.result };
    }
    // Below the low-water mark the attempt may have run, so it must not be reported as unknown here.
    const state = this.isExpired(attempt) ? AttemptState.Ended : AttemptState.UnknownHere;
    return { attempt, state, result: null };
  }

  /** Records a cancellation unless the attempt has started or may have started. */
  cancel(attempt: AttemptId, refusal: AttemptResult): AttemptCancelResult {
    const record = this.find(attempt);
    if (record === undefined && !this.isExpired(attempt)) {
      this.refuse(attempt, refusal);
      return { attempt, started: false, result: null };
    }
    const started = record?.state !== AttemptState.Cancelled;
    return { attempt, started, result: started ? (record?.result ?? null) : null };
  }

  /** Removes bodies and records that are too old or exceed the limits. */
  sweep(): void {
    const now = this.clock.now();
    for (const [key, record] of this.recordsWithBody) {
      const old = now - record.settledAt >= this.resultRetentionMs;
      if (!old && this.bodyBytes <= this.resultBytesMaximum) {
        break;
      }
      this.removeBody(key, record);
    }
    for (const [key, record] of this.settled) {
      const old = now - record.settledAt >= this.recordRetentionMs;
      if (!old && this.settled.size <= this.recordsMaximum) {
        break;
      }
      this.removeRecord(key, record);
    }
  }

  private find(attempt: AttemptId): AttemptRecord | undefined {
    const key = buildKey(attempt);
    return this.running.get(key) ?? this.settled.get(key);
  }

  private settle(record: AttemptRecord, state: AttemptState, result: AttemptResult): void {
    const key = buildKey(record.attempt);
    record.state = state;
    record.result = result;
    record.settledAt = this.clock.now();
    this.settled.set(key, record);
    if (result.bodyBase64 !== null) {
      this.recordsWithBody.set(key, record);
      this.bodyBytes += result.bodyBase64.length;
    }
    this.sweep();
  }

  private removeBody(key: string, record: AttemptRecord): void {
    this.recordsWithBody.delete(key);
    this.bodyBytes -= record.result?.bodyBase64?.length ?? 0;
    if (record.result !== null) {
      // The outcome stays; only the response body is removed.
      record.result = {
        ...record.result,
        code: OutcomeCode.AnswerNotKept,
        message: 'the response is no longer stored',
        bodyBase64: null,
      };
    }
  }

  private removeRecord(key: string, record: AttemptRecord): void {
    const { entryIncarnation, sequence } = record.attempt;
    if (this.recordsWithBody.has(key)) {
      this.removeBody(key, record);
    }
    this.settled.delete(key);
    const mark = this.lowWaterMarks.get(entryIncarnation) ?? 0;
    this.lowWaterMarks.delete(entryIncarnation);
    this.lowWaterMarks.set(entryIncarnation, Math.max(mark, sequence));
    if (this.lowWaterMarks.size > LOW_WATER_MARKS_MAXIMUM) {
      const [oldest] = this.lowWaterMarks.keys();
      this.lowWaterMarks.delete(oldest as EntryIncarnation);
    }
  }
}

function buildKey(attempt: AttemptId): string {
  return `${attempt.entryIncarnation}/${attempt.sequence}`;
}
