/**
 * Acknowledges the ends of runs to the VMs, which forget them then.
 */
import type { UnsettledEnd, VmRecord } from './records.js';

/** Acknowledges the ends of the VM up to this sequence number. Returns those whose effect is not stored. */
export function acknowledgeEnds(vm: VmRecord, through: number): UnsettledEnd[] {
  const covered = vm.unsettledEnds.filter(({ sequence }) => sequence <= through);
  vm.unsettledEnds = vm.unsettledEnds.filter(({ sequence }) => sequence > through);
  vm.settledThrough = Math.max(vm.settledThrough, through);
  return covered.filter(({ occurrence, change }) => occurrence.storedChange < change);
}
