/**
 * What processes of this machine use, from `/proc`.
 */
import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;
const KILOBYTES_PER_MEGABYTE = 1_024;

/** Fields after the command name, which may hold spaces: user and system time are the 12th and 13th. */
const USER_TIME_INDEX = 11;
const SYSTEM_TIME_INDEX = 12;

/** Processor time of a process since its start. */
export function processorMs(pid: number): number {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX]);
  return (ticks * MILLISECONDS_PER_SECOND) / TICKS_PER_SECOND;
}

export function residentMegabytes(pid: number): number {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/^VmRSS:\s+(?<kilobytes>\d+)/mu.exec(text)?.groups?.kilobytes ?? 0);
  return kilobytes / KILOBYTES_PER_MEGABYTE;
}
