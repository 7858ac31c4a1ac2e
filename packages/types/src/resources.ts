/**
 * Resource amounts of tasks and VMs. Integers, so that sums are exact.
 */
export interface Resources {
  /** Thousandths of one processor core. */
  processorMillicores: number;
  memoryMegabytes: number;
  accelerators: number;
}
