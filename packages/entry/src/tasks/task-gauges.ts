/**
 * Metrics of the cached task rows. A new owner of a shard serves it only after reading its rows; until then
 * its tasks are not placed, and `shards_owned` exceeds `shards_served`.
 */
import { SHARD_COUNT, TaskState } from '@figjunction/types';
import type { TaskContext } from './task-context.js';

export function setTaskGauges({ entry, shards, store }: TaskContext): void {
  const { metrics, peers } = entry;
  const all = Array.from({ length: SHARD_COUNT }, (_value, shard) => shard);
  metrics.setGauge('shards_owned', all.filter((shard) => peers.ownsShard(shard)).length);
  metrics.setGauge('shards_served', all.filter((shard) => shards.isServed(shard)).length);
  for (const state of [TaskState.Pending, TaskState.Held, TaskState.Running]) {
    metrics.setGauge('task_rows', store.rows.countInState(state), { state });
  }
}
