/**
 * The entry's cache of the task rows in its shards, as last read or written; the agent has a class of the same
 * name for its own tasks. Versions increase across the whole table, so the row with the higher version is
 * always the newer one, in whatever order responses arrive.
 */
import { TaskState, TaskType } from '@figjunction/types';
import type { AgentId, TaskRow, TeamName, VersionedRow } from '@figjunction/types';
import { shardOfKey } from './task-identifiers.js';
import { isEnded } from './task-transitions.js';

export type TaskEntry = VersionedRow<TaskRow>;

/** Resources that the running tasks of a team use. */
export interface TeamUsage {
  runningTasks: number;
  processorMillicores: number;
}

/** The fields needed to delete an ended task; only these are cached, as many ended tasks are retained for a day. */
export interface EndedTask {
  key: string;
  shard: number;
  version: number;
  endedAtMs: number;
}

const NO_USAGE: TeamUsage = { runningTasks: 0, processorMillicores: 0 };

export class TaskTable {
  private readonly shards = new Map<number, Map<string, TaskEntry>>();

  private readonly byState = new Map<TaskState, Map<string, TaskEntry>>();

  private readonly byAgent = new Map<AgentId, Map<string, TaskEntry>>();

  private readonly usage = new Map<TeamName, TeamUsage>();

  private readonly ended = new Map<string, EndedTask>();

  /** Last known version of each removed row, until the shard is scanned again. */
  private readonly removedVersions = new Map<string, number>();

  get(key: string): TaskEntry | undefined {
    const shard = shardOfKey(key);
    return shard === null ? undefined : this.shards.get(shard)?.get(key);
  }

  inState(state: TaskState): Iterable<TaskEntry> {
    return this.byState.get(state)?.values() ?? [];
  }

  countInState(state: TaskState): number {
    return this.byState.get(state)?.size ?? 0;
  }

  /** Running rows that name an agent as holder. */
  heldBy(agentId: AgentId): Iterable<TaskEntry> {
    return this.byAgent.get(agentId)?.values() ?? [];
  }

  /** Agents that hold at least one running row. */
  holders(): AgentId[] {
    return [...this.byAgent.keys()];
  }

  usageOf(team: TeamName): TeamUsage {
    return this.usage.get(team) ?? NO_USAGE;
  }

  /** Tasks that ended before a wall-clock time, at most `limit` of them. */
  endedBefore(endedAtMs: number, limit: number): EndedTask[] {
    const found: EndedTask[] = [];
    const instances = [...this.inState(TaskState.Cancelled)].map((entry) =>
      endedTask(entry, shardOfKey(entry.key) ?? 0),
    );
    for (const task of [...this.ended.values(), ...instances]) {
      if (found.length >= limit) {
        break;
      }
      if (task.endedAtMs < endedAtMs) {
        found.push(task);
      }
    }
    return found;
  }

  inShard(shard: number): Iterable<TaskEntry> {
    return this.shards.get(shard)?.values() ?? [];
  }

  sizeOfShard(shard: number): number {
    return this.shards.get(shard)?.size ?? 0;
  }

  loadedShards(): number[] {
    return [...this.shards.keys()];
  }

  isLoaded(shard: number): boolean {
    return this.shards.has(shard);
  }

  /** Caches a row unless the same or a newer version is known; ignores rows of shards that are not loaded. */
  observe(entry: TaskEntry): void {
    const shard = shardOfKey(entry.key);
    const rows = shard === null ? undefined : this.shards.get(shard);
    if (rows === undefined || this.knownVersion(entry.key) >= entry.version) {
      return;
    }
    this.removeFromIndexes(rows.get(entry.key));
    this.removedVersions.delete(entry.key);
    this.ended.delete(entry.key);
    if (entry.value.type === TaskType.Batch && isEnded(entry.value.state)) {
      rows.delete(entry.key);
      this.ended.set(entry.key, endedTask(entry, shard ?? 0));
    } else {
      rows.set(entry.key, entry);
      this.addToIndexes(entry);
    }
  }

  /** Removes a row that was absent from the table, unless a version above `afterVersion` is known. */
  remove(key: string, afterVersion: number): void {
    const version = this.knownVersion(key);
    if (version === 0 || version > afterVersion) {
      return;
    }
    this.removeFromIndexes(this.get(key));
    this.shards.get(shardOfKey(key) ?? -1)?.delete(key);
    this.ended.delete(key);
    this.removedVersions.set(key, version);
  }

  /** Merges a scan of a whole shard; `versionsBefore` holds the versions from just before the scan. */
  replaceShard(shard: number, rows: TaskEntry[], versionsBefore: Map<string, number>): void {
    if (!this.shards.has(shard)) {
      this.shards.set(shard, new Map());
    }
    for (const row of rows) {
      this.observe(row);
    }
    const scanned = new Set(rows.map(({ key }) => key));
    for (const [key, version] of versionsBefore) {
      if (!scanned.has(key)) {
        this.remove(key, version);
      }
    }
    this.clearRemovedVersions(shard);
  }

  /** Current versions of a shard's rows, to pass to `replaceShard` after a scan. */
  versionsOf(shard: number): Map<string, number> {
    const versions = new Map<string, number>();
    for (const { key, version } of this.inShard(shard)) {
      versions.set(key, version);
    }
    for (const { key, version, shard: endedShard } of this.ended.values()) {
      if (endedShard === shard) {
        versions.set(key, version);
      }
    }
    return versions;
  }

  dropShard(shard: number): void {
    for (const entry of this.inShard(shard)) {
      this.removeFromIndexes(entry);
    }
    this.shards.delete(shard);
    for (const { key, shard: endedShard } of this.ended.values()) {
      if (endedShard === shard) {
        this.ended.delete(key);
      }
    }
    this.clearRemovedVersions(shard);
  }

  private knownVersion(key: string): number {
    return (
      this.get(key)?.version ?? this.ended.get(key)?.version ?? this.removedVersions.get(key) ?? 0
    );
  }

  private clearRemovedVersions(shard: number): void {
    for (const key of this.removedVersions.keys()) {
      if (shardOfKey(key) === shard) {
        this.removedVersions.delete(key);
      }
    }
  }

  private addToIndexes(entry: TaskEntry): void {
    const { value, key } = entry;
    getOrCreateGroup(this.byState, value.state).set(key, entry);
    if (value.state === TaskState.Running && value.holder !== null) {
      getOrCreateGroup(this.byAgent, value.holder.agentId).set(key, entry);
    }
    this.addUsage(entry, 1);
  }

  private removeFromIndexes(entry: TaskEntry | undefined): void {
    if (entry === undefined) {
      return;
    }
    const { value, key } = entry;
    this.byState.get(value.state)?.delete(key);
    if (value.holder !== null) {
      const held = this.byAgent.get(value.holder.agentId);
      held?.delete(key);
      if (held?.size === 0) {
        this.byAgent.delete(value.holder.agentId);
      }
    }
    this.addUsage(entry, -1);
  }

  private addUsage({ value }: TaskEntry, sign: 1 | -1): void {
    if (value.state !== TaskState.Running || value.team === '') {
      return;
    }
    const before = this.usageOf(value.team);
    this.usage.set(value.team, {
      runningTasks: before.runningTasks + sign,
      processorMillicores:
        before.processorMillicores + sign * value.declaredSize.processorMillicores,
    });
  }
}

function endedTask({ key, version, value }: TaskEntry, shard: number): EndedTask {
  return { key, shard, version, endedAtMs: value.endedAtMs ?? 0 };
}

function getOrCreateGroup<Group>(
  groups: Map<Group, Map<string, TaskEntry>>,
  group: Group,
): Map<string, TaskEntry> {
  let members = groups.get(group);
  if (members === undefined) {
    members = new Map();
    groups.set(group, members);
  }
  return members;
}
