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
export const OWNER_KEY = 'owner';
export const LEASE_KEY = 'lease';

export function progressKey(jobId: string, occurrence: number): string {
  return `${jobId}.${occurrence}`;
}

export function parseProgressKey(key: string): { jobId: string; occurrence: number } {
  const dot = key.lastIndexOf('.');
  return { jobId: key.slice(0, dot), occurrence: Number(key.slice(dot + 1)) };
}
