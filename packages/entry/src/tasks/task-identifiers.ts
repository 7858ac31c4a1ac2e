/**
 * Ids of tasks and the shards they belong to. The id of a batch task joins team, job and task with dots,
 * which none of the three may contain, so two teams can use the same job id.
 */
import { createHash } from 'node:crypto';
import { SHARD_COUNT, TaskType, shardPrefix, taskKey } from '@figjunction/types';
import type { JobId, ServiceName, TaskId, TaskRow, TeamName } from '@figjunction/types';

const SEPARATOR = '.';
const INSTANCE_PREFIX = 'instance-';
const HASH_BYTES = 4;

function shardOfName(name: string): number {
  const hash = createHash('sha256').update(name).digest();
  return hash.readUIntBE(0, HASH_BYTES) % SHARD_COUNT;
}

const shardCache = new Map<string, number>();

function cachedShard(name: string): number {
  let shard = shardCache.get(name);
  if (shard === undefined) {
    shard = shardOfName(name);
    shardCache.set(name, shard);
  }
  return shard;
}

/** All tasks of a team share a shard, so that one owner applies the team's batch quotas. */
export function shardOfTeam(team: TeamName): number {
  return cachedShard(`team/${team}`);
}

export function shardOfService(service: ServiceName): number {
  return cachedShard(`service/${service}`);
}

export function batchTaskId(team: TeamName, jobId: JobId, name: string): TaskId {
  return [team, jobId, name].join(SEPARATOR);
}

export function instanceTaskId(service: ServiceName, index: number): TaskId {
  return `${INSTANCE_PREFIX}${service}-${index}`;
}

/** Position of an instance among those of its service. */
export function instanceIndex(taskId: TaskId): number {
  return Number(taskId.slice(taskId.lastIndexOf('-') + 1));
}

/** Prefix of the keys of all tasks of a job. */
export function jobKeyPrefix(team: TeamName, jobId: JobId): string {
  return `${teamKeyPrefix(team)}${jobId}${SEPARATOR}`;
}

/** Prefix of the keys of all batch tasks of a team. */
export function teamKeyPrefix(team: TeamName): string {
  return `${shardPrefix(shardOfTeam(team))}${team}${SEPARATOR}`;
}

export function shardOfRow(row: TaskRow): number {
  return row.type === TaskType.Instance ? shardOfService(row.kind) : shardOfTeam(row.team);
}

/** The shard of a task key, or null for a key of another form. */
export function shardOfKey(key: string): number | null {
  const match = /^tasks\/(?<shard>\d+)\//u.exec(key);
  return match === null ? null : Number(match.groups?.shard);
}

/** Key of the task with the given id, or null when the id has no known form. */
export function keyOfTaskId(taskId: TaskId): string | null {
  const parts = taskId.split(SEPARATOR);
  if (parts.length > 1) {
    return taskKey(shardOfTeam(parts[0] ?? ''), taskId);
  }
  const match = /^instance-(?<service>.+)-\d+$/u.exec(taskId);
  const service = match?.groups?.service;
  return service === undefined ? null : taskKey(shardOfService(service), taskId);
}
