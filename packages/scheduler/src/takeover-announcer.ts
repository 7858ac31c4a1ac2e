/**
 * Announces this scheduler to the runners of an earlier one. Runners also find it in the store, so the calls
 * only save time; on a large cell they must not keep the new scheduler from answering reports.
 */
import PQueue from 'p-queue';
import { toError } from '@figjunction/errors';
import type { CellState } from '@figjunction/scheduling';
import { sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';

export interface TakeoverAnnouncerOptions {
  context: Pick<CellContext, 'rpc' | 'events' | 'address'>;
  state: Pick<CellState, 'unreportedVms'>;
  lease: Pick<CellLease, 'epoch'>;
}

const CONCURRENT_CALLS_MAXIMUM = 8;
const CALL_TIMEOUT_MS = 500;
/** Delay after a failed call, which may have met a runner that is starting. */
const RETRY_DELAY_MS = 500;
/** Delay after an answered call: the runner knows this scheduler, and its report is on the way. */
const REPORT_DELAY_MS = 2_500;

export class TakeoverAnnouncer {
  private readonly calls = new PQueue({ concurrency: CONCURRENT_CALLS_MAXIMUM });

  constructor(private readonly options: TakeoverAnnouncerOptions) {}

  /** Calls the runner until it reports, the lease of its VM must have expired, or this scheduler is deposed. */
  announceTo(runnerId: string, address: string): void {
    this.callUntilReported(runnerId, address).catch((error: unknown) => {
      const fields = { vm: runnerId, error: toError(error).message };
      this.options.context.events.write('adopt-failed', fields);
    });
  }

  private async callUntilReported(runnerId: string, address: string): Promise<void> {
    const { state, lease } = this.options;
    const { epoch } = lease;
    const isNeeded = (): boolean => state.unreportedVms.has(runnerId) && lease.epoch === epoch;
    while (isNeeded()) {
      const isAnswered = await this.calls.add(
        async () => isNeeded() && (await this.call(runnerId, address, epoch)),
      );
      await sleep(isAnswered ? REPORT_DELAY_MS : RETRY_DELAY_MS);
    }
  }

  private async call(runnerId: string, address: string, epoch: number): Promise<boolean> {
    const { rpc, events, address: ownAddress } = this.options.context;
    try {
      const parameters = { epoch, address: ownAddress };
      const options = { timeoutMs: CALL_TIMEOUT_MS, newConnection: true };
      await rpc.call(address, RpcMethod.RunnerAdopt, parameters, options);
      return true;
    } catch (error) {
      events.write('runner-unreachable', { vm: runnerId, error: toError(error).message });
      return false;
    }
  }
}
