/**
 * Waits until every process that the entries know has a revision in force and confirmed.
 */
import { deadlineAfter, hasPassed, remainingMs, sleep } from '@figjunction/time';
import type { Clock } from '@figjunction/time';
import type { EntryConnection } from './entry-connection.js';
import { requestStatus } from './entry-requests.js';
import type { AbsentProcess, StatusAnswer } from './entry-requests.js';
import { formatTable } from './table.js';
import type { Terminal } from './terminal.js';

const POLL_INTERVAL_MS = 500;
const MILLISECONDS_PER_SECOND = 1_000;

export interface RolloutOptions {
  entry: EntryConnection;
  revision: number;
  terminal: Terminal;
  clock: Clock;
  timeoutMs: number;
}

export interface RolloutProcess {
  name: string;
  revision: number | null;
  /** Why the process is not there yet; null when it is. */
  reason: string | null;
}

export interface Rollout {
  revision: number;
  /** The highest revision that any process has; higher than `revision` when that was replaced since. */
  newestRevision: number;
  confirmed: RolloutProcess[];
  missing: RolloutProcess[];
  /** Cut off or gone, so that nobody can tell; they are not waited for. */
  absent: AbsentProcess[];
}

/** Returns when all have the revision or the time is up; `missing` tells which. */
export async function waitForRollout(options: RolloutOptions): Promise<Rollout> {
  const { entry, revision, terminal, clock, timeoutMs } = options;
  const deadline = deadlineAfter(clock, timeoutMs);
  for (;;) {
    const rollout = await readRollout(entry, revision);
    const total = rollout.confirmed.length + rollout.missing.length;
    const complete = rollout.missing.length === 0;
    if (complete || hasPassed(clock, deadline)) {
      terminal.progress('');
      return rollout;
    }
    const have = rollout.confirmed.length;
    terminal.progress(`revision ${revision} is in force on ${have} of ${total} processes`);
    await sleep(Math.min(POLL_INTERVAL_MS, remainingMs(clock, deadline)));
  }
}

async function readRollout(entry: EntryConnection, revision: number): Promise<Rollout> {
  const status = await requestStatus(entry);
  const processes = listProcesses(status, revision);
  return {
    revision,
    newestRevision: Math.max(revision, ...processes.map((known) => known.revision ?? 0)),
    absent: status.absent,
    confirmed: processes.filter(({ reason }) => reason === null),
    missing: processes.filter(({ reason }) => reason !== null),
  };
}

function listProcesses(status: StatusAnswer, revision: number): RolloutProcess[] {
  const entries = status.entries.map((entry) => ({ name: entry.entryId, ...entry }));
  const agents = status.agents.map((agent) => ({ name: agent.agentId, waitingFor: [], ...agent }));
  return [...entries, ...agents].map((known) => ({
    name: known.name,
    revision: known.revision,
    reason: findReason(known, revision),
  }));
}

interface ProcessState {
  revision: number | null;
  confirmed: boolean;
  waitingFor: string[];
}

function findReason(state: ProcessState, revision: number): string | null {
  if (state.revision === null) {
    return 'does not answer';
  }
  if (state.revision < revision) {
    return [`has revision ${state.revision}`, ...state.waitingFor].join(', waits for ');
  }
  return state.confirmed ? null : 'has the revision but cannot confirm it';
}

/** A file that is applied again may be in force no more, which must not read as a success. */
export function formatRollout(rollout: Rollout): string {
  const { revision, newestRevision } = rollout;
  return newestRevision > revision
    ? `revision ${newestRevision} has replaced it since; see "figjunction history"`
    : formatProgress(rollout);
}

function formatProgress({ revision, confirmed, missing, absent }: Rollout): string {
  if (missing.length === 0) {
    const names = confirmed.map(({ name }) => name).join(', ');
    const lines = [`in force on all ${confirmed.length} known processes: ${names}`];
    return [...lines, ...absent.map(formatAbsent)].join('\n');
  }
  return [
    `revision ${revision} is confirmed by ${confirmed.length} processes and not by:`,
    formatTable(
      ['process', 'reason'],
      missing.map(({ name, reason }) => [name, reason ?? '']),
    ),
    ...absent.map(formatAbsent),
  ].join('\n');
}

/** For example `vm-3 is not heard of for 40 s`. */
export function formatAbsent({ name, silentMs }: AbsentProcess): string {
  return `${name} is not heard of for ${Math.round(silentMs / MILLISECONDS_PER_SECOND)} s`;
}
