/**
 * Decides which ends of runs are acknowledged to a VM, which forgets them then: only those whose effect is stored, so
 * that each later scheduler knows of it. An end that waits holds back the later ones of its VM, and no other VM.
 */
import type { VmRecord } from './records.js';

export function settleEnds(vm: VmRecord): void {
  const firstUnstored = vm.unsettledEnds.findIndex(
    ({ occurrence, change }) => occurrence.storedChange < change,
  );
  if (firstUnstored === -1) {
    vm.unsettledEnds = [];
    vm.settledThrough = vm.lastEndSequence;
    return;
  }
  const settled = vm.unsettledEnds.splice(0, firstUnstored);
  vm.settledThrough = settled[settled.length - 1]?.sequence ?? vm.settledThrough;
}
