/**
 * Writes the events of a session with a VM.
 */
import { Outage } from '@figjunction/logger';
import type { EventLog } from '@figjunction/logger';
import { RunEnding } from '@figjunction/types';
import type { EndedRun, RunReference } from '@figjunction/types';
import type { HoldRefusal, HoldResult } from './vm-host.js';

export class VmSessionLog {
  private readonly outage = new Outage();

  constructor(
    private readonly events: EventLog,
    private readonly instance: string,
  ) {}

  /** Logs the first of several calls without a response. */
  recordFailure({ message }: Error): void {
    this.outage.begin(() =>
      this.events.write('vm-lost', { instance: this.instance, error: message }),
    );
  }

  /** Logs the first response after calls without one. */
  recordResponse(): void {
    this.outage.end(() => this.events.write('vm-regained', { instance: this.instance }));
  }

  recordRefusal(refusal: HoldRefusal, epoch: number): void {
    this.events.write('hold-refused', { instance: this.instance, refusal, epoch });
  }

  /** The VM has restarted under the same instance id, and its announcement has not arrived yet. */
  recordRestart(bornWallMs: number, listedBornWallMs: number): void {
    const fields = { born: bornWallMs, listedBorn: listedBornWallMs };
    this.events.write('vm-restarted', { instance: this.instance, ...fields });
  }

  /** `lastVmClockMs` is the reading of the list that was applied before. */
  recordOvertakenList(vmClockMs: number, lastVmClockMs: number): void {
    this.events.write('list-overtaken', { instance: this.instance, vmClockMs, lastVmClockMs });
  }

  /** The VM lists runs that this process has not ordered; `listAgeMs` is the age of the list. */
  recordUnexpectedRuns(runs: RunReference[], epoch: number, listAgeMs: number): void {
    for (const { taskId, run } of runs) {
      const fields = { task: taskId, run, epoch, listAgeMs: Math.round(listAgeMs) };
      this.events.write('run-unexpected', { instance: this.instance, ...fields });
    }
  }

  /**
   * Logs runs that have ended with the lease since the last list. `unacknowledged` counts the other ends in the list,
   * which wait for the scheduler.
   */
  recordExpiry(
    newEnds: EndedRun[],
    { vmClockMs, ended }: HoldResult,
    untilVmMs: number | null,
  ): void {
    const lapsed = newEnds.filter(({ ending }) => ending === RunEnding.Lapsed).length;
    if (lapsed > 0) {
      const unacknowledged = ended.length - lapsed;
      const fields = { instance: this.instance, untilVmMs, vmClockMs, lapsed, unacknowledged };
      this.events.write('vm-lease-expired', fields);
    }
  }
}
