/**
 * Collections, partitions and keys of the rows that a cell keeps in the store.
 */
export enum CellCollection {
  /** Accepted jobs, by job id. Written by gateways. */
  Jobs = 'jobs',
  /** Cancellation requests, by job id. Written by gateways. */
  Cancellations = 'cancellations',
  /** Progress of occurrences, by "job id.occurrence". Written by the scheduler. */
  Progress = 'progress',
  /** Owner, lease and commit rows of the cell. Written by the scheduler. */
  Cells = 'cells',
  /** Registered runners, which may have runs, by runner id. Written by the scheduler. */
  Runners = 'runners',
}

export const CELL_PARTITION = 'cell-0';

/** Jobs are spread over one partition for each digit, so that a slow store accepts many submissions at once. */
const JOB_PARTITION_DIGITS = '0123456789abcdef';

/** Returns the partition of the rows that gateways write for a job, chosen by the last digit of its id. */
export function jobPartition(jobId: string): string {
  return `jobs-${jobId.slice(-1)}`;
}

export function jobPartitions(): string[] {
  return [...JOB_PARTITION_DIGITS].map(jobPartition);
}

export const OWNER_KEY = 'owner';
export const LEASE_KEY = 'lease';
/**
 * Key of the row that every progress transaction updates and expects unchanged. A transaction whose response
 * was lost therefore cannot apply after a later one.
 */
export const COMMIT_KEY = 'commit';

export function progressKey(jobId: string, occurrence: number): string {
  return `${jobId}.${occurrence}`;
}

export function parseProgressKey(key: string): { jobId: string; occurrence: number } {
  const dot = key.lastIndexOf('.');
  return { jobId: key.slice(0, dot), occurrence: Number(key.slice(dot + 1)) };
}
