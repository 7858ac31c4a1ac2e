/**
 * Asks the runners of VMs whose lease has expired for a list, as long as tasks wait for it. Runners also report by
 * themselves, but a scheduler that is overloaded handles their reports late, and its own calls need no report.
 */
import PQueue from 'p-queue';
import { toError } from '@figjunction/errors';
import type { VmRecord } from '@figjunction/scheduling';
import { sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { RunnerListResult } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';

export interface ExpiredVmListsOptions {
  context: Pick<CellContext, 'rpc' | 'events'>;
  lease: Pick<CellLease, 'epoch' | 'isHeld'>;
  /** Called with the list of a VM that is still waited for. */
  onList: (vm: VmRecord, list: RunnerListResult) => void;
}

/** Calls to runners that are cut off take their whole timeout, and must not keep others from being asked in time. */
const CONCURRENT_CALLS_MAXIMUM = 64;
/** A VM answers its runner within 400 ms, if at all; the rest is for the calls. */
const CALL_TIMEOUT_MS = 1_000;
/** Delay after a call without a list, which may have met a runner that is starting. */
const RETRY_DELAY_MS = 150;
const CALLS_MAXIMUM = 8;

export class ExpiredVmLists {
  private readonly calls = new PQueue({ concurrency: CONCURRENT_CALLS_MAXIMUM });

  constructor(private readonly options: ExpiredVmListsOptions) {}

  /** Calls the runner until the VM has listed its runs, has a session, or is waited for no more. */
  request(vm: VmRecord): void {
    const { lease, context } = this.options;
    const { epoch } = lease;
    const isAwaited = (): boolean =>
      vm.listAwaitedUntil !== null && vm.session === 0 && lease.epoch === epoch && lease.isHeld();
    this.callWhile(isAwaited, vm).catch((error: unknown) => {
      context.events.write('list-not-applied', { vm: vm.id, error: toError(error).message });
    });
  }

  private async callWhile(isAwaited: () => boolean, vm: VmRecord): Promise<void> {
    for (let calls = 0; calls < CALLS_MAXIMUM && isAwaited(); calls += 1) {
      await this.calls.add(async () => {
        if (isAwaited()) {
          await this.call(isAwaited, vm);
        }
      });
      await sleep(RETRY_DELAY_MS);
    }
  }

  private async call(isAwaited: () => boolean, vm: VmRecord): Promise<void> {
    const { context, lease, onList } = this.options;
    const options = { timeoutMs: CALL_TIMEOUT_MS, newConnection: true };
    try {
      const parameters = { epoch: lease.epoch };
      const list = await context.rpc.call(vm.address, RpcMethod.RunnerList, parameters, options);
      if (list.vm !== null && isAwaited()) {
        onList(vm, list);
      }
    } catch (error) {
      const { message } = toError(error);
      context.events.write('list-unanswered', { vm: vm.id, error: message });
    }
  }
}
