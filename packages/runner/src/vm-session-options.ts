/**
 * What a session with a VM needs, and the types of its requests for lists.
 */
import type { EventLog } from '@figjunction/logger';
import type { Clock, Instant } from '@figjunction/time';
import type { VmAnnouncement } from '@figjunction/types';
import type { VmHost } from './vm-host.js';

export interface VmSessionOptions {
  host: VmHost;
  clock: Clock;
  events: EventLog;
  announcement: VmAnnouncement;
  /** Epoch of the scheduler that this process follows; 0 while none is known. */
  epoch: () => number;
  /** Called when a report is due: new ends, vanished runs, the first list of an epoch or a refusal. */
  onChange: () => void;
}

/** State at the time of a request for a list. */
export interface ListRequest {
  requestedAt: Instant;
  requestedEpoch: number;
}

export enum ListOutcome {
  /** The VM refused the request, or its list is of another incarnation or out of date. */
  NotApplied = 'not-applied',
  Unchanged = 'unchanged',
  /** The list contained new ends. */
  NewEnds = 'new-ends',
}
