/**
 * Schemas of the rows that a cell reads from the store. Another writer may have stored anything there, so no row is
 * used before its schema has accepted it. Fields that a schema doesn't name are dropped, which bounds the depth of
 * what is kept. All numbers are bounded, so that sums and successors of them stay exact.
 */
import * as z from 'zod/mini';
import { JobState } from '@figjunction/types';
import type {
  CellLeaseRow,
  CellOwnerRow,
  JobRow,
  JobSpecification,
  ProgressRow,
  RunnerRow,
} from '@figjunction/types';
import { unpackProgressRow } from './progress-packing.js';

const TEXT_LENGTH_MAXIMUM = 4_000;
/** Run numbers start at a thousand for each epoch and must stay exact. */
const EPOCH_MAXIMUM = 1e12;
const RUN_NUMBER_MAXIMUM = Number.MAX_SAFE_INTEGER - 1;
/** Millicores, megabytes, accelerators and milliseconds of a single task or policy. */
const QUANTITY_MAXIMUM = 1e12;
const PRIORITY_MAXIMUM = 1e12;
/** The latest time that a `Date` holds, in milliseconds since 1970. */
const WALL_TIME_MAXIMUM_MS = 8.64e15;
const STEPS_MAXIMUM = 100;
const TASKS_MAXIMUM = 20_000;
const RUNNERS_MAXIMUM = 20_000;
const FAILURES_MAXIMUM = 100_000;

const text = z.string().check(z.maxLength(TEXT_LENGTH_MAXIMUM));
const quantity = z.number().check(z.gte(0), z.lte(QUANTITY_MAXIMUM));
const wallTimeMs = z.number().check(z.gte(0), z.lte(WALL_TIME_MAXIMUM_MS));
const epoch = z.int().check(z.gte(0), z.lte(EPOCH_MAXIMUM));
const runNumbers = z
  .array(z.int().check(z.gte(0), z.lte(RUN_NUMBER_MAXIMUM)))
  .check(z.maxLength(FAILURES_MAXIMUM));
const runNumbersByTask = z.record(text, runNumbers);
const processAddress = text.check(z.refine(isProcessAddress));

/** True for `http://host:port` with a port that exists. */
function isProcessAddress(value: string): boolean {
  try {
    const { protocol, port, pathname, search } = new URL(value);
    return protocol === 'http:' && port !== '0' && pathname === '/' && search === '';
  } catch {
    return false;
  }
}

const advicePolicy = z.object({ decideMs: quantity, eachVmMs: quantity, validMs: quantity });

const queuePolicy = z.object({
  name: text,
  host: text,
  pathPrefix: text,
  service: text,
  priority: z.number().check(z.gte(-PRIORITY_MAXIMUM), z.lte(PRIORITY_MAXIMUM)),
  attemptsMaximum: quantity,
  slackFactor: quantity,
  objectiveMs: quantity,
  advice: z.nullable(advicePolicy),
});

const resources = z.object({
  processorMillicores: quantity,
  memoryMegabytes: quantity,
  accelerators: quantity,
});

const stepSpecification = z.object({
  taskCount: z.int().check(z.gte(1), z.lte(TASKS_MAXIMUM)),
  resources,
  estimateMs: quantity,
  after: z.array(z.int().check(z.gte(0), z.lt(STEPS_MAXIMUM))).check(z.maxLength(STEPS_MAXIMUM)),
  checkpoints: z.boolean(),
  gang: z.boolean(),
  sameRack: z.boolean(),
  requiredLabel: z.nullable(text),
  preferredRack: z.nullable(text),
  tasksPerVmMaximum: z.nullable(quantity),
  duplicatesAllowed: z.boolean(),
  longRunning: z.boolean(),
  image: z.nullable(text),
  latencyTargetMs: z.nullable(quantity),
  fills: z.boolean(),
  unavailableMaximum: z.nullable(quantity),
});

/** What a gateway accepts has to meet this, or a scheduler would not read the job that the caller relies on. */
export const jobSpecificationSchema: z.ZodMiniType<JobSpecification> = z.object({
  payload: text,
  steps: z
    .array(stepSpecification)
    .check(z.minLength(1), z.maxLength(STEPS_MAXIMUM), z.refine(dependOnEarlierSteps)),
  occurrences: z.int().check(z.gte(0), z.lte(TASKS_MAXIMUM)),
  firstDueWallMs: wallTimeMs,
  intervalMs: quantity,
});

function dependOnEarlierSteps(steps: { after: number[] }[]): boolean {
  return steps.every(({ after }, index) => after.every((earlier) => earlier < index));
}

export const jobRowSchema: z.ZodMiniType<JobRow> = z.object({
  policy: queuePolicy,
  specification: jobSpecificationSchema,
  submittedAtStoreMs: wallTimeMs,
});

const unpackedProgressRow = z.object({
  state: z.enum(JobState),
  done: z.array(z.string().check(z.maxLength(TASKS_MAXIMUM))).check(z.maxLength(STEPS_MAXIMUM)),
  failures: runNumbersByTask,
  crashes: z.optional(runNumbersByTask),
  runners: z.array(text).check(z.maxLength(RUNNERS_MAXIMUM)),
  hasBegun: z.optional(z.boolean()),
});

export const progressRowSchema: z.ZodMiniType<ProgressRow> = z.pipe(
  z.transform(unpackProgressRow),
  unpackedProgressRow,
);

export const runnerRowSchema: z.ZodMiniType<RunnerRow> = z.object({ address: processAddress });

export const ownerRowSchema: z.ZodMiniType<CellOwnerRow> = z.object({
  epoch,
  address: processAddress,
  processId: text,
});

export const leaseRowSchema: z.ZodMiniType<CellLeaseRow> = z.object({
  epoch,
  leasedUntilStoreMs: wallTimeMs,
});

/** The row that each transaction of progress updates. */
export const commitRowSchema = z.object({ epoch });
