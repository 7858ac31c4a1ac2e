/**
 * Notifies the owners of shards about new pending tasks, so that they rescan at once. A lost notification
 * delays the tasks until the next periodic scan.
 */
import { RpcMethod } from '@figjunction/types';
import type { TaskContext } from './task-context.js';

const NOTICE_TIMEOUT_MS = 2_000;

export function notifyOwners(context: TaskContext, shards: number[]): void {
  const { peers, rpc, metrics } = context.entry;
  const byAddress = new Map<string, number[]>();
  for (const shard of shards) {
    if (!peers.ownsShard(shard)) {
      const { address } = peers.ownerOfShard(shard);
      byAddress.set(address, [...(byAddress.get(address) ?? []), shard]);
    }
  }
  for (const [address, owned] of byAddress) {
    rpc
      .call(address, RpcMethod.EntryNotify, { shards: owned }, { timeoutMs: NOTICE_TIMEOUT_MS })
      .catch(() => metrics.count('shard_notices_lost_total'));
  }
}
