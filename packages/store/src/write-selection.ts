/**
 * Chooses the items of the next transaction: oldest first, one item for each key, within the limits.
 */
import { TRANSACTION_ITEMS_MAXIMUM } from '@figjunction/types';
import { checkId } from './write-item.js';
import type { WriteItem } from './write-item.js';

export function selectItems(queue: WriteItem[], itemsMaximum: number): WriteItem[] {
  const selected: WriteItem[] = [];
  const checks = new Set<string>();
  const seenKeys = new Set<string>();
  for (const item of queue) {
    // A later submission for a key waits for the earlier one, also when that one is not selected.
    const isFirstOfKey = !seenKeys.has(item.key);
    seenKeys.add(item.key);
    const added = item.checks.map(checkId).filter((id) => !checks.has(id));
    const total = selected.length + 1 + checks.size + added.length;
    const fits = selected.length === 0 || total <= TRANSACTION_ITEMS_MAXIMUM;
    if (isFirstOfKey && fits && mayJoin(item, selected)) {
      selected.push(item);
      added.forEach((id) => checks.add(id));
    }
    if (selected.length >= itemsMaximum || (item === selected[0] && item.alone)) {
      break;
    }
  }
  return selected;
}

function mayJoin(item: WriteItem, selected: WriteItem[]): boolean {
  return selected.length === 0 || !item.alone;
}
