/**
 * Keeps the rows of service instances in line with the configuration: inserts missing ones, revives those
 * that a growing service needs again, drains and cancels those beyond the declared number.
 */
import type { OperatorConfiguration, ServiceConfiguration } from '@figjunction/config';
import type { Instant } from '@figjunction/time';
import { TaskState, TaskType, taskKey } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { cancelRow } from './cancellation.js';
import { isSurplusInstance } from './instance-rules.js';
import { configurationOf, runInBackground } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { instanceTaskId, shardOfService } from './task-identifiers.js';
import type { TaskEntry } from './task-table.js';
import { isEnded } from './task-transitions.js';

/** An instance that has not ended by itself after this time is fenced and stopped. */
const DRAIN_MAXIMUM_MS = 60_000;
const STOP_REPEAT_MS = 5_000;

interface Drain {
  deadline: Instant;
  nextStop: Instant;
}

export class InstanceReconciler {
  private readonly drains = new Map<string, Drain>();

  constructor(private readonly context: TaskContext) {}

  run(now: Instant): void {
    const configuration = configurationOf(this.context);
    if (configuration === null || !this.context.entry.configuration.isConfirmed(now)) {
      return;
    }
    for (const service of configuration.services) {
      if (this.context.shards.isServed(shardOfService(service.name))) {
        this.completeService(service);
      }
    }
    this.removeSurplus(configuration, now);
  }

  private completeService(service: ServiceConfiguration): void {
    const shard = shardOfService(service.name);
    for (let index = 0; index < service.instances; index += 1) {
      const taskId = instanceTaskId(service.name, index);
      const key = taskKey(shard, taskId);
      const existing = this.context.store.rows.get(key) ?? null;
      const needed = existing === null || existing.value.state === TaskState.Cancelled;
      if (needed && !this.context.store.isBusy(key)) {
        const row = this.newRow(service, taskId, existing);
        runInBackground(this.context, 'insert-instance', async () => {
          await this.context.store.write(key, existing, row);
        });
      }
    }
  }

  private newRow(
    service: ServiceConfiguration,
    taskId: string,
    existing: TaskEntry | null,
  ): TaskRow {
    return {
      writeId: '',
      taskId,
      type: TaskType.Instance,
      jobId: service.name,
      team: '',
      kind: service.name,
      urgency: service.urgency,
      declaredSize: service.size,
      state: TaskState.Pending,
      attempt: existing?.value.attempt ?? 0,
      holder: null,
      checkpointKey: null,
      parameters: {},
      failures: 0,
      evictions: 0,
      failedOn: [],
      reason: null,
      lastDecision: existing?.value.lastDecision ?? null,
      submittedAtMs: this.context.entry.clock.wallTimeMs(),
      endedAtMs: null,
    };
  }

  private removeSurplus(configuration: OperatorConfiguration, now: Instant): void {
    const surplus = new Set<string>();
    for (const shard of this.context.store.rows.loadedShards()) {
      for (const entry of this.context.store.rows.inShard(shard)) {
        if (!isEnded(entry.value.state) && isSurplusInstance(configuration, entry.value)) {
          surplus.add(entry.key);
          this.removeInstance(entry, now);
        }
      }
    }
    for (const key of this.drains.keys()) {
      if (!surplus.has(key)) {
        this.drains.delete(key);
      }
    }
  }

  private removeInstance(entry: TaskEntry, now: Instant): void {
    const reason = 'the configuration declares fewer instances';
    const drain = this.drains.get(entry.key) ?? { deadline: now + DRAIN_MAXIMUM_MS, nextStop: now };
    this.drains.set(entry.key, drain);
    const { holder, taskId, attempt } = entry.value;
    if (holder === null || now >= drain.deadline) {
      if (!this.context.store.isBusy(entry.key)) {
        runInBackground(this.context, 'cancel-instance', async () => {
          await cancelRow(this.context, entry, reason);
        });
      }
    } else if (now >= drain.nextStop) {
      drain.nextStop = now + STOP_REPEAT_MS;
      this.context.orders.stop({ holder, taskId, attempt, checkpoint: false, reason });
    }
  }
}
