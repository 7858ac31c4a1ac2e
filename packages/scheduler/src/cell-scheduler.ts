/**
 * A process that can schedule the cell: takes the cell over when nobody owns it, keeps the lease, and
 * gives the cell up when it stops or another process has taken over. It follows the configuration only while
 * it schedules: a large configuration that every process read would fill the links between regions.
 */
import { toError } from '@figjunction/errors';
import type { RpcHandlers } from '@figjunction/rpc';
import { sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { FleetConfiguration } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CellLease, RenewalOutcome } from './cell-lease.js';
import { loadCell } from './cell-loader.js';
import { CellRun } from './cell-run.js';
import { OperatorFollower } from './operator-feed.js';
import type { OwnerDirectory, OwnerView } from './owner-directory.js';
import { refuseReport } from './runner-desk.js';

export interface CellSchedulerOptions {
  context: CellContext;
  directory: OwnerDirectory;
}

/** The epoch in the answer of a process that does not schedule. */
const NO_EPOCH = 0;
/** The epoch in the answer of a process that is trying to take the cell over. */
const UNDECIDED_EPOCH = -1;
const RENEWAL_CHECK_MS = 100;
const LOAD_RETRY_MS = 200;
const CONFIGURATION_CHECK_MS = 20;
/** How long a stop waits for progress to be stored. */
const SETTLE_MS = 1_500;
const SETTLE_CHECK_MS = 20;

export class CellScheduler {
  private readonly lease: CellLease;

  private run: CellRun | null = null;

  private follower: OperatorFollower | null = null;

  /** Claims the cell: trying to take it over, or loading it. */
  private claiming = false;

  private stopping = false;

  constructor(private readonly options: CellSchedulerOptions) {
    this.lease = new CellLease(options.context);
  }

  get isOwner(): boolean {
    return this.run !== null || this.claiming;
  }

  /** Takes the cell over from the owner in the view. The caller has made sure that its time is over. */
  async takeOver(view: OwnerView, reason: string): Promise<void> {
    if (this.isOwner || this.stopping) {
      return;
    }
    this.claiming = true;
    const { context, directory } = this.options;
    try {
      if (await this.lease.acquire(view)) {
        const { epoch } = this.lease;
        context.events.write('cell-taken-over', { epoch, reason, before: view.owner?.processId });
        directory.learn({ epoch, address: context.address, processId: context.processId });
        await this.load();
      }
    } catch (error) {
      context.events.write('take-over-failed', { reason, error: toError(error).message });
    } finally {
      this.claiming = false;
    }
  }

  /** Gives the cell up after what has ended is stored. */
  async stop(): Promise<void> {
    this.stopping = true;
    this.follower?.stop();
    const { run } = this;
    if (run === null) {
      return;
    }
    const { clock } = this.options.context;
    const giveUpAt = clock.now() + SETTLE_MS;
    run.stop();
    while (!run.isSettled && clock.now() < giveUpAt && this.lease.isHeld()) {
      run.flush();
      await sleep(SETTLE_CHECK_MS);
    }
    this.run = null;
    await this.lease.release().catch((error: unknown) => {
      this.options.context.events.write('release-failed', { error: toError(error).message });
    });
  }

  handlers(): RpcHandlers {
    return {
      [RpcMethod.RunnerReport]: (report) =>
        this.run?.desk.report(report) ?? refuseReport(this.claimedEpoch()),
      [RpcMethod.JobStates]: ({ jobIds }) => ({
        states: this.activeRun()?.jobStates(jobIds) ?? jobIds.map(() => null),
      }),
      [RpcMethod.PendingCounts]: () => ({ counts: this.activeRun()?.pendingCounts() ?? null }),
    };
  }

  /** The epoch that this process claims or holds without having loaded the cell. */
  private claimedEpoch(): number {
    if (!this.claiming) {
      return NO_EPOCH;
    }
    return this.lease.epoch === 0 ? UNDECIDED_EPOCH : this.lease.epoch;
  }

  private activeRun(): CellRun | null {
    return this.lease.isHeld() ? this.run : null;
  }

  private async load(): Promise<void> {
    const { context } = this.options;
    const { epoch } = this.lease;
    this.keepLease(epoch).catch((error: unknown) => {
      context.events.write('lease-keeper-failed', { error: toError(error).message });
    });
    this.follow();
    while (this.lease.epoch === epoch && this.run === null && !this.stopping) {
      try {
        const loaded = await loadCell(context);
        const { lease } = this;
        const configuration = await this.knownConfiguration(epoch);
        if (configuration === null) {
          return;
        }
        const onDeposed = (): void => this.lose();
        this.run = new CellRun({ context, lease, loaded, configuration, onDeposed });
        this.run.start();
        const jobs = loaded.jobs.length;
        context.events.write('cell-loaded', { epoch, jobs, runners: loaded.runners.length });
      } catch (error) {
        context.events.write('cell-load-failed', { epoch, error: toError(error).message });
        await sleep(LOAD_RETRY_MS);
      }
    }
  }

  private follow(): void {
    const { operatorFeed: feed, events } = this.options.context;
    const onConfiguration = (configuration: FleetConfiguration): void =>
      this.run?.configure(configuration);
    this.follower = new OperatorFollower({ feed, events, onConfiguration });
    this.follower.run().catch((error: unknown) => {
      events.write('part-failed', { part: 'configuration', error: toError(error).message });
    });
  }

  /** Waits for the first configuration; null when the cell was lost before. */
  private async knownConfiguration(epoch: number): Promise<FleetConfiguration | null> {
    while (this.lease.epoch === epoch && !this.stopping) {
      const configuration = this.follower?.configuration ?? null;
      if (configuration !== null) {
        return configuration;
      }
      await sleep(CONFIGURATION_CHECK_MS);
    }
    return null;
  }

  private async keepLease(epoch: number): Promise<void> {
    const { context } = this.options;
    let failing = false;
    while (this.lease.epoch === epoch && !this.stopping) {
      const outcome = await this.lease.renew();
      if (outcome === RenewalOutcome.Deposed) {
        this.lose();
        return;
      }
      if (outcome !== RenewalOutcome.NotDue && failing !== (outcome === RenewalOutcome.Failed)) {
        failing = outcome === RenewalOutcome.Failed;
        context.events.write(failing ? 'lease-renewal-failed' : 'lease-renewal-regained', {
          epoch,
          held: this.lease.isHeld(),
        });
      }
      await sleep(RENEWAL_CHECK_MS);
    }
  }

  private lose(): void {
    const { epoch } = this.lease;
    this.follower?.stop();
    this.run?.stop();
    this.run = null;
    this.lease.forget();
    this.options.context.events.write('cell-lost', { epoch });
  }
}
