/**
 * Requests the list with which a runner opens an offered session.
 */
import { toError } from '@figjunction/errors';
import { Outage } from '@figjunction/logger';
import type { EventLog } from '@figjunction/logger';
import type { VmSession } from './vm-session.js';

export class OpeningList {
  private readonly outage = new Outage();

  constructor(private readonly events: EventLog) {}

  /** Returns false if the VM gives no list that can be reported. Logs the first of several failures. */
  async request(vmSession: VmSession | null): Promise<boolean> {
    try {
      const isApplied = vmSession !== null && (await vmSession.refresh());
      this.outage.end(() => {});
      return isApplied;
    } catch (error) {
      this.outage.begin(() => this.events.write('list-failed', { error: toError(error).message }));
      return false;
    }
  }
}
