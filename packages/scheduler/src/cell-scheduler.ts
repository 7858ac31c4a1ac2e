/**
 * A process that can schedule the cell: takes the cell over when it has no owner, renews the lease, and
 * releases the cell when it stops or another process has taken over. It follows the configuration only while
 * it schedules: a large configuration read by every process would saturate the links between regions.
 */
import { toError } from '@figjunction/errors';
import type { RpcHandlers } from '@figjunction/rpc';
import { sleep } from '@figjunction/time';
import { RpcMethod } from '@figjunction/types';
import type { FleetConfiguration } from '@figjunction/types';
import type { CellContext } from './cell-context.js';
import { CellLease, RenewalOutcome } from './cell-lease.js';
import { loadCell } from './cell-loader.js';
import { SchedulingTerm } from './scheduling-term.js';
import { ConfigurationFollower } from './configuration-follower.js';
import type { OwnerDirectory, OwnerView } from './owner-directory.js';
import { createReportRefusal } from './runner-sessions.js';

export interface CellSchedulerOptions {
  context: CellContext;
  directory: OwnerDirectory;
}

/** Epoch in the response of a process that does not schedule. */
const NO_EPOCH = 0;
/** Epoch in the response of a process that is trying to take the cell over. */
const CLAIMING_EPOCH = -1;
const RENEWAL_CHECK_INTERVAL_MS = 100;
const LOAD_RETRY_DELAY_MS = 200;
const CONFIGURATION_CHECK_INTERVAL_MS = 20;
/** Maximum time that a stop spends on writing progress. */
const STOP_TIMEOUT_MS = 1_500;
const STOP_CHECK_INTERVAL_MS = 20;

export class CellScheduler {
  private readonly lease: CellLease;

  private term: SchedulingTerm | null = null;

  private configurationFollower: ConfigurationFollower | null = null;

  /** True while this process acquires the lease or loads the cell. */
  private isClaiming = false;

  private isStopping = false;

  constructor(private readonly options: CellSchedulerOptions) {
    this.lease = new CellLease(options.context);
  }

  get isOwner(): boolean {
    return this.term !== null || this.isClaiming;
  }

  /** Takes the cell over from the owner in the view. The caller has checked that this owner can no longer act. */
  async takeOver(view: OwnerView, reason: string): Promise<void> {
    if (this.isOwner || this.isStopping) {
      return;
    }
    this.isClaiming = true;
    const { context, directory } = this.options;
    try {
      if (await this.lease.acquire(view)) {
        const { epoch } = this.lease;
        context.events.write('cell-taken-over', { epoch, reason, before: view.owner?.processId });
        directory.updateOwner({ epoch, address: context.address, processId: context.processId });
        await this.load();
      }
    } catch (error) {
      context.events.write('take-over-failed', { reason, error: toError(error).message });
    } finally {
      this.isClaiming = false;
    }
  }

  /** Stops scheduling, writes the remaining progress within a time limit, and releases the lease. */
  async stop(): Promise<void> {
    this.isStopping = true;
    this.configurationFollower?.stop();
    const { term } = this;
    if (term === null) {
      return;
    }
    const { clock } = this.options.context;
    const deadline = clock.now() + STOP_TIMEOUT_MS;
    term.stop();
    while (!term.isFlushed && clock.now() < deadline && this.lease.isHeld()) {
      term.flush();
      await sleep(STOP_CHECK_INTERVAL_MS);
    }
    this.term = null;
    await this.lease.release().catch((error: unknown) => {
      this.options.context.events.write('release-failed', { error: toError(error).message });
    });
  }

  handlers(): RpcHandlers {
    return {
      [RpcMethod.RunnerReport]: (report) =>
        this.term?.sessions.handleReport(report) ?? createReportRefusal(this.claimedEpoch()),
      [RpcMethod.JobStates]: ({ jobIds }) => ({
        states: this.activeTerm()?.jobStates(jobIds) ?? jobIds.map(() => null),
      }),
      [RpcMethod.PendingCounts]: () => ({ counts: this.activeTerm()?.pendingCounts() ?? null }),
    };
  }

  /** Epoch in responses while the cell is not loaded. It shows whether this process is taking it over. */
  private claimedEpoch(): number {
    if (!this.isClaiming) {
      return NO_EPOCH;
    }
    return this.lease.epoch === 0 ? CLAIMING_EPOCH : this.lease.epoch;
  }

  private activeTerm(): SchedulingTerm | null {
    return this.lease.isHeld() ? this.term : null;
  }

  private async load(): Promise<void> {
    const { context } = this.options;
    const { epoch } = this.lease;
    this.renewUntilLost(epoch).catch((error: unknown) => {
      context.events.write('lease-keeper-failed', { error: toError(error).message });
    });
    this.followConfiguration();
    while (this.lease.epoch === epoch && this.term === null && !this.isStopping) {
      try {
        const loaded = await loadCell(context);
        const { lease } = this;
        const configuration = await this.waitForConfiguration(epoch);
        if (configuration === null) {
          return;
        }
        const onDeposed = (): void => this.handleLoss();
        this.term = new SchedulingTerm({ context, lease, loaded, configuration, onDeposed });
        this.term.start();
        const jobs = loaded.jobs.length;
        context.events.write('cell-loaded', { epoch, jobs, runners: loaded.runners.length });
      } catch (error) {
        context.events.write('cell-load-failed', { epoch, error: toError(error).message });
        await sleep(LOAD_RETRY_DELAY_MS);
      }
    }
  }

  private followConfiguration(): void {
    const { configurationFeed: feed, clock, events } = this.options.context;
    const onConfiguration = (configuration: FleetConfiguration): void =>
      this.term?.applyConfiguration(configuration);
    this.configurationFollower = new ConfigurationFollower({
      feed,
      clock,
      events,
      onConfiguration,
    });
    this.configurationFollower.run().catch((error: unknown) => {
      events.write('part-failed', { part: 'configuration', error: toError(error).message });
    });
  }

  /** Waits for the first configuration. Returns null when the lease is lost or the process stops before. */
  private async waitForConfiguration(epoch: number): Promise<FleetConfiguration | null> {
    while (this.lease.epoch === epoch && !this.isStopping) {
      const configuration = this.configurationFollower?.configuration ?? null;
      if (configuration !== null) {
        return configuration;
      }
      await sleep(CONFIGURATION_CHECK_INTERVAL_MS);
    }
    return null;
  }

  private async renewUntilLost(epoch: number): Promise<void> {
    const { context } = this.options;
    let isFailing = false;
    while (this.lease.epoch === epoch && !this.isStopping) {
      const outcome = await this.lease.renew();
      if (outcome === RenewalOutcome.Deposed) {
        this.handleLoss();
        return;
      }
      if (outcome !== RenewalOutcome.NotDue && isFailing !== (outcome === RenewalOutcome.Failed)) {
        isFailing = outcome === RenewalOutcome.Failed;
        context.events.write(isFailing ? 'lease-renewal-failed' : 'lease-renewal-regained', {
          epoch,
          held: this.lease.isHeld(),
        });
      }
      await sleep(RENEWAL_CHECK_INTERVAL_MS);
    }
  }

  private handleLoss(): void {
    const { epoch } = this.lease;
    this.configurationFollower?.stop();
    this.term?.stop();
    this.term = null;
    this.lease.markLost();
    this.options.context.events.write('cell-lost', { epoch });
  }
}
