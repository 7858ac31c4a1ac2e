/**
 * Selects the items of the next transaction: oldest first, at most one per key, within the size limits.
 */
import { TRANSACTION_ITEMS_MAXIMUM } from '@figjunction/types';
import { checkId } from './write-item.js';
import type { WriteItem } from './write-item.js';

export function selectItems(queue: WriteItem[], itemsMaximum: number): WriteItem[] {
  const selected: WriteItem[] = [];
  const checks = new Set<string>();
  const seenKeys = new Set<string>();
  for (const item of queue) {
    // Writes to one key stay in order: a later item waits for the earlier one, even if that is not selected.
    const isFirstOfKey = !seenKeys.has(item.key);
    seenKeys.add(item.key);
    const newChecks = item.checks.map(checkId).filter((id) => !checks.has(id));
    const total = selected.length + 1 + checks.size + newChecks.length;
    const fits = selected.length === 0 || total <= TRANSACTION_ITEMS_MAXIMUM;
    if (isFirstOfKey && fits && canJoinTransaction(item, selected)) {
      selected.push(item);
      newChecks.forEach((id) => checks.add(id));
    }
    if (selected.length >= itemsMaximum || (item === selected[0] && item.isSentAlone)) {
      break;
    }
  }
  return selected;
}

function canJoinTransaction(item: WriteItem, selected: WriteItem[]): boolean {
  return selected.length === 0 || !item.isSentAlone;
}
