/**
 * Names of the collections, the partition and the keys that a cell uses in the store.
 */
export enum CellCollection {
  /** Accepted jobs, by job id. Written by gateways. */
  Jobs = 'jobs',
  /** Requests to cancel, by job id. Written by gateways. */
  Cancellations = 'cancellations',
  /** Progress of occurrences, by "job id.occurrence". Written by the scheduler. */
  Progress = 'progress',
  /** The scheduler of the cell and its lease. */
  Cells = 'cells',
  /** Runners that may hold runs, by runner id. Written by the scheduler. */
  Runners = 'runners',
}

export const CELL_PARTITION = 'cell-0';

/** Jobs are spread over partitions, so that a slow store still takes many submissions at a time. */
const JOB_PARTITION_DIGITS = '0123456789abcdef';

/** Partition of the rows that gateways write for a job. */
export function jobPartition(jobId: string): string {
  return `jobs-${jobId.slice(-1)}`;
}

export function jobPartitions(): string[] {
  return [...JOB_PARTITION_DIGITS].map(jobPartition);
}

export const OWNER_KEY = 'owner';
export const LEASE_KEY = 'lease';
/** Changes with each transaction of progress, so that one whose answer was lost cannot follow a later one. */
export const COMMIT_KEY = 'commit';

export function progressKey(jobId: string, occurrence: number): string {
  return `${jobId}.${occurrence}`;
}

export function parseProgressKey(key: string): { jobId: string; occurrence: number } {
  const dot = key.lastIndexOf('.');
  return { jobId: key.slice(0, dot), occurrence: Number(key.slice(dot + 1)) };
}
