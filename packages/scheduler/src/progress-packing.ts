/**
 * Keeps rows of progress below the size that the store accepts, for every job that the gateways accept. A large row is
 * compressed; if that does not suffice, it forgets what is needed least.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { ProgressRow } from '@figjunction/types';

type RunsByTask = ProgressRow['failures'];

/** The failed runs of one step, in an order and form that compresses well. */
interface StepFailures {
  /** For each task up to the last one with failures, how many it has. */
  counts: number[];
  /** Run numbers of all tasks, one after another, relative to `base`. */
  runs: number[];
  base: number;
}

interface PackedFields extends Pick<ProgressRow, 'done' | 'crashes'> {
  failures: StepFailures[];
}

/** The store may count the row in base64, which takes four characters for three bytes. */
const BASE64_FACTOR = 4 / 3;
/** Limits the memory that an odd row can take. */
const UNPACKED_MAXIMUM_BYTES = 64 * 1024 * 1024;
/** Only ends that a VM still lists can be reported again, so the numbers of earlier runs are not needed. */
const REMEMBERED_RUNS = 2;
/** Stands for a failed run whose number is forgotten; it still counts. Run numbers start at 1. */
const FORGOTTEN_RUN = 0;

/** Size of a row in the store. */
export function measureStoredBytes(row: ProgressRow): number {
  return Math.ceil(Buffer.byteLength(JSON.stringify(row)) * BASE64_FACTOR);
}

/** Returns the row, or a smaller form of it that is at most as large; the smallest form if none is. */
export function fitProgressRow(row: ProgressRow, maximumBytes: number): ProgressRow {
  const forms = [
    (): ProgressRow => row,
    (): ProgressRow => pack(row),
    (): ProgressRow => pack({ ...row, failures: forgetRunNumbers(row.failures) }),
    // The attempts of a task start anew with the next scheduler; that it is done is never forgotten.
    (): ProgressRow => pack({ ...row, failures: {}, crashes: {} }),
  ];
  for (const form of forms.slice(0, -1)) {
    const candidate = form();
    if (measureStoredBytes(candidate) <= maximumBytes) {
      return candidate;
    }
  }
  return (forms[forms.length - 1] as () => ProgressRow)();
}

/** Restores the fields of a packed row. Returns other values as they are, and null for a packed row that is damaged. */
export function unpackProgressRow(value: unknown): unknown {
  if (typeof value !== 'object' || value === null || !('packed' in value)) {
    return value;
  }
  const { packed, ...others } = value;
  try {
    const compressed = Buffer.from(packed as string, 'base64');
    const content = inflateRawSync(compressed, { maxOutputLength: UNPACKED_MAXIMUM_BYTES });
    const { done, failures, crashes } = JSON.parse(content.toString('utf8')) as PackedFields;
    return { ...others, done, failures: toRunsByTask(failures), crashes };
  } catch {
    // The caller logs rows that it can't read.
    return null;
  }
}

function pack({ done, failures, crashes, ...others }: ProgressRow): ProgressRow {
  const fields: PackedFields = {
    done,
    failures: done.map((_, step) => collectFailures(failures, step)),
    crashes,
  };
  const packed = deflateRawSync(JSON.stringify(fields)).toString('base64');
  return { ...others, done: [], failures: {}, crashes: {}, packed };
}

function collectFailures(failures: RunsByTask, step: number): StepFailures {
  const ofStep = Object.entries(failures).flatMap(([task, runs]) => {
    const [stepIndex, taskIndex] = task.split('.').map(Number);
    return stepIndex === step && taskIndex !== undefined ? [{ taskIndex, runs }] : [];
  });
  ofStep.sort((left, right) => left.taskIndex - right.taskIndex);
  const known = ofStep.flatMap(({ runs }) => runs).filter((run) => run !== FORGOTTEN_RUN);
  const base = known.reduce((lowest, run) => Math.min(lowest, run), Number.MAX_SAFE_INTEGER) - 1;
  const counts: number[] = [];
  for (const { taskIndex, runs } of ofStep) {
    counts.push(...Array<number>(taskIndex - counts.length).fill(0), runs.length);
  }
  const runs = ofStep.flatMap((task) =>
    task.runs.map((run) => Math.max(FORGOTTEN_RUN, run - base)),
  );
  return { counts, runs, base };
}

function toRunsByTask(failures: StepFailures[]): RunsByTask {
  const result: RunsByTask = {};
  failures.forEach(({ counts, runs, base }, step) => {
    let next = 0;
    counts.forEach((count, task) => {
      const ofTask = runs.slice(next, next + count);
      next += count;
      if (count > 0) {
        result[`${step}.${task}`] = ofTask.map((run) => (run === FORGOTTEN_RUN ? run : run + base));
      }
    });
  });
  return result;
}

function forgetRunNumbers(failures: RunsByTask): RunsByTask {
  const shortened = Object.entries(failures).map(([task, runs]) => {
    const forgotten = Math.max(0, runs.length - REMEMBERED_RUNS);
    return [task, [...Array<number>(forgotten).fill(FORGOTTEN_RUN), ...runs.slice(forgotten)]];
  });
  return Object.fromEntries(shortened) as RunsByTask;
}
