/**
 * Asks the VM whether it is the incarnation that a heartbeat names.
 */
import type { VmAnnouncement } from '@figjunction/types';
import { HoldRefusal } from './vm-host.js';
import type { VmHost } from './vm-host.js';

export enum IncarnationVerdict {
  /** The VM has answered as this incarnation. */
  Confirmed = 'confirmed',
  /** The VM has answered as another one. */
  Refuted = 'refuted',
  /** The VM has not answered, or has refused the call for another reason. */
  Unknown = 'unknown',
}

export interface IncarnationCheckOptions {
  host: Pick<VmHost, 'hold'>;
  /** The epoch under which the runner calls the VM now. */
  epoch: () => number;
}

export class IncarnationCheck {
  /** Calls without an answer yet, so that a flood of heartbeats of one incarnation makes one call. */
  private readonly calls = new Map<string, Promise<IncarnationVerdict>>();

  constructor(private readonly options: IncarnationCheckOptions) {}

  confirm({ instanceId, bornWallMs }: VmAnnouncement): Promise<IncarnationVerdict> {
    const key = `${instanceId}@${bornWallMs}`;
    const known = this.calls.get(key);
    if (known !== undefined) {
      return known;
    }
    const call = this.ask(instanceId, bornWallMs).finally(() => this.calls.delete(key));
    this.calls.set(key, call);
    return call;
  }

  /** The call lists the runs; it extends no lease and acknowledges no ends. */
  private async ask(instanceId: string, bornWallMs: number): Promise<IncarnationVerdict> {
    const epoch = this.options.epoch();
    const request = { instanceId, epoch, leaseUntilVmMs: null, settledThrough: 0, waitMs: 0 };
    try {
      const result = await this.options.host.hold(request);
      if (result === HoldRefusal.Fenced) {
        return IncarnationVerdict.Unknown;
      }
      const isConfirmed = result !== HoldRefusal.OtherInstance && result.bornWallMs === bornWallMs;
      return isConfirmed ? IncarnationVerdict.Confirmed : IncarnationVerdict.Refuted;
    } catch {
      // A VM that doesn't answer is no error here: its session logs the silence, and the next heartbeat asks again.
      return IncarnationVerdict.Unknown;
    }
  }
}
