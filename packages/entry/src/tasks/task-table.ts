/**
 * The rows of the shards that this entry owns, as last read or written. Versions rise over the whole
 * table, so the row with the higher version is always the newer one, whatever order answers arrive in.
 */
import { TaskState, TaskType } from '@figjunction/types';
import type { AgentId, TaskRow, TeamName, VersionedRow } from '@figjunction/types';
import { shardOfKey } from './task-identifiers.js';
import { isEnded } from './task-transitions.js';

export type TaskEntry = VersionedRow<TaskRow>;

/** What the running tasks of a team take up. */
export interface TeamUsage {
  runningTasks: number;
  processorMillicores: number;
}

/** What is kept of a batch task that ended: enough to sweep it, since many of them stay for a day. */
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

  /** Newest version known of each key, removed rows included, until the shard is read again. */
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

  /** Takes a row unless a newer version of it is known; rows of shards not loaded are ignored. */
  observe(entry: TaskEntry): void {
    const shard = shardOfKey(entry.key);
    const rows = shard === null ? undefined : this.shards.get(shard);
    if (rows === undefined || this.knownVersion(entry.key) >= entry.version) {
      return;
    }
    this.unlink(rows.get(entry.key));
    this.removedVersions.delete(entry.key);
    this.ended.delete(entry.key);
    if (entry.value.type === TaskType.Batch && isEnded(entry.value.state)) {
      rows.delete(entry.key);
      this.ended.set(entry.key, endedTask(entry, shard ?? 0));
    } else {
      rows.set(entry.key, entry);
      this.link(entry);
    }
  }

  /** Notes that a row was absent after the given version. */
  remove(key: string, afterVersion: number): void {
    const version = this.knownVersion(key);
    if (version === 0 || version > afterVersion) {
      return;
    }
    this.unlink(this.get(key));
    this.shards.get(shardOfKey(key) ?? -1)?.delete(key);
    this.ended.delete(key);
    this.removedVersions.set(key, version);
  }

  /** Takes the result of a scan of a whole shard that started when `versionsBefore` was taken. */
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
    this.forgetRemoved(shard);
  }

  /** Versions of a shard's rows now, to be passed to `replaceShard` after the scan. */
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
      this.unlink(entry);
    }
    this.shards.delete(shard);
    for (const { key, shard: endedShard } of this.ended.values()) {
      if (endedShard === shard) {
        this.ended.delete(key);
      }
    }
    this.forgetRemoved(shard);
  }

  private knownVersion(key: string): number {
    return (
      this.get(key)?.version ?? this.ended.get(key)?.version ?? this.removedVersions.get(key) ?? 0
    );
  }

  private forgetRemoved(shard: number): void {
    for (const key of this.removedVersions.keys()) {
      if (shardOfKey(key) === shard) {
        this.removedVersions.delete(key);
      }
    }
  }

  private link(entry: TaskEntry): void {
    const { value, key } = entry;
    groupOf(this.byState, value.state).set(key, entry);
    if (value.state === TaskState.Running && value.holder !== null) {
      groupOf(this.byAgent, value.holder.agentId).set(key, entry);
    }
    this.addUsage(entry, 1);
  }

  private unlink(entry: TaskEntry | undefined): void {
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

function groupOf<Group>(
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
