/**
 * The work of a scheduler during one epoch, from the take-over of the cell to its release or loss. It owns
 * the tables of the cell and runs the systems over them at each tick.
 */
import {
  CellState,
  isPending,
  placeTasks,
  preemptBatchRuns,
  deriveVisibleState,
} from '@figjunction/scheduling';
import type { PlacementResult } from '@figjunction/scheduling';
import { toError } from '@figjunction/errors';
import { WakeLoop } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import type { FleetConfiguration, JobState } from '@figjunction/types';
import { AdviceRequester } from './advice-requester.js';
import { CancellationFreshness } from './cancellation-freshness.js';
import type { CellContext } from './cell-context.js';
import type { CellLease } from './cell-lease.js';
import { listRunnersWithRuns } from './cell-loader.js';
import type { LoadedCell } from './cell-loader.js';
import type { CollectionWatch } from './collection-watch.js';
import { Housekeeping } from './housekeeping.js';
import { JobIntake } from './job-intake.js';
import { createJobWatches } from './job-watches.js';
import { OrderSender } from './order-sender.js';
import { ProgressWriter } from './progress-writer.js';
import { RunnerSessions, leaseExpiryDelayMs } from './runner-sessions.js';
import { TakeoverAnnouncer } from './takeover-announcer.js';
import { TermLog } from './term-log.js';
import { computeTickRestFactor } from './tick-rest.js';
import { TickPhase } from './tick-times.js';

export interface SchedulingTermOptions {
  context: CellContext;
  lease: CellLease;
  loaded: LoadedCell;
  configuration: FleetConfiguration;
  onDeposed: () => void;
}

export class SchedulingTerm {
  readonly state = new CellState();

  readonly sessions: RunnerSessions;

  private readonly intake: JobIntake;

  private readonly writer: ProgressWriter;

  private readonly sender: OrderSender;

  private readonly adviceRequester: AdviceRequester;

  private readonly announcer: TakeoverAnnouncer;

  private readonly tickLoop: WakeLoop;

  private readonly watches: CollectionWatch[];

  private readonly freshness: CancellationFreshness;

  private readonly log: TermLog;

  private readonly housekeeping: Housekeeping;

  constructor(private readonly options: SchedulingTermOptions) {
    const { context, lease, loaded, onDeposed } = options;
    this.freshness = new CancellationFreshness(context);
    const { state, freshness } = this;
    const wake = (): void => this.tickLoop.wake();
    this.intake = new JobIntake({ context, state, epoch: lease.epoch });
    this.writer = new ProgressWriter({
      context,
      state,
      lease,
      onDeposed,
      onRunnerRegistered: (id, address) => this.addOrUpdateVm(id, address),
      onStored: () => this.handleStored(),
    });
    this.log = new TermLog(context, state, lease.epoch);
    const { activity } = this.log;
    this.sessions = new RunnerSessions({
      context,
      state,
      lease,
      writer: this.writer,
      wake,
      activity,
    });
    const { intake, writer, log } = this;
    this.housekeeping = new Housekeeping({ context, state, intake, writer, log });
    this.announcer = new TakeoverAnnouncer({ context, state, lease });
    this.sender = new OrderSender({ context, state, lease, freshness, onCallFinished: wake });
    this.adviceRequester = new AdviceRequester(context, state, wake);
    this.tickLoop = new WakeLoop({
      clock: context.clock,
      restFactor: () => computeTickRestFactor(context.processorLoad.utilization()),
      run: (now) => this.tick(now),
      onError: (error) => {
        const { message, stack } = toError(error);
        context.events.write('tick-failed', { error: message, stack });
      },
    });
    this.applyConfiguration(options.configuration);
    this.restore(loaded);
    this.watches = createJobWatches({ context, loaded, intake, freshness, wake });
  }

  start(): void {
    this.tickLoop.start();
    this.watches.forEach((watch) => {
      watch.run().catch(() => {
        // `run` logs its failures itself and ends only when it is stopped.
      });
    });
  }

  stop(): void {
    this.tickLoop.stop();
    this.sender.stop();
    this.watches.forEach((watch) => watch.stop());
  }

  /** Replaces the queues. Jobs of removed queues keep the policy they were accepted with. */
  applyConfiguration(configuration: FleetConfiguration): void {
    this.state.queues.clear();
    configuration.queues.forEach((queue) => this.state.queues.set(queue.name, queue));
    this.tickLoop.wake();
  }

  jobStates(jobIds: string[]): (JobState | null)[] {
    return jobIds.map((id) => {
      const job = this.state.jobs.get(id);
      return job === undefined ? null : deriveVisibleState(job, this.state.unreportedVms);
    });
  }

  pendingCounts(): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const job of this.state.jobs.values()) {
      if (isPending(job)) {
        const { name } = job.policy;
        counts[name] = (counts[name] ?? 0) + 1;
      }
    }
    return counts;
  }

  /** True when no change waits for a transaction; the last transaction may still be open. */
  get isFlushed(): boolean {
    return this.state.dirty.size === 0;
  }

  flush(): void {
    this.writer.flush(this.options.context.clock.now());
  }

  private restore(loaded: LoadedCell): void {
    const { context } = this.options;
    const now = context.clock.now();
    this.intake.cacheProgress(loaded.progress);
    this.intake.holdOccurrences(loaded.unreadableProgress);
    this.intake.addJobs(loaded.jobs, true, now);
    this.intake.cancelJobs(loaded.cancellations, now);
    const leaseExpiresAt = now + leaseExpiryDelayMs(context.grantMs);
    for (const id of listRunnersWithRuns(loaded)) {
      this.state.unreportedVms.set(id, leaseExpiresAt);
    }
    for (const { key, value } of loaded.runners) {
      if (value !== null) {
        this.state.addVm(key, value.address);
        this.state.unreportedVms.set(key, leaseExpiresAt);
        this.announcer.announceTo(key, value.address);
      }
    }
  }

  private addOrUpdateVm(id: string, address: string): void {
    const vm = this.state.vms.get(id);
    if (vm === undefined) {
      this.state.addVm(id, address);
    } else {
      vm.address = address;
    }
  }

  /** Sends the orders that waited for their VMs to be stored, without a wait for the next tick. */
  private handleStored(): void {
    this.sender.sendDueOrders(this.options.context.clock.now());
    this.tickLoop.wake();
  }

  private tick(now: Instant): void {
    const { log } = this;
    const { tickTimes } = log;
    if (!this.options.lease.isHeld()) {
      return;
    }
    tickTimes.measure(TickPhase.Expire, () => {
      this.sessions.expireLeases(now);
      this.intake.activateDueOccurrences(now);
    });
    tickTimes.measure(TickPhase.Housekeeping, () => this.housekeeping.runIfDue(now));
    tickTimes.measure(TickPhase.Summary, () => log.summarize(now));
    if (this.freshness.isRecent(now)) {
      const { lackingAdvice } = this.placeAndPreempt(now);
      tickTimes.measure(TickPhase.Advise, () =>
        this.adviceRequester.requestForSteps(lackingAdvice, now),
      );
    }
    tickTimes.measure(TickPhase.Send, () => this.sender.sendDueOrders(now));
    tickTimes.measure(TickPhase.Store, () => this.writer.flush(now));
    tickTimes.endTick();
  }

  private placeAndPreempt(now: Instant): PlacementResult {
    const { state, log } = this;
    const placement = log.tickTimes.measure(TickPhase.Place, () => placeTasks(state, now));
    placement.started.forEach((run) => log.recordStart(run, now));
    log.tickTimes.measure(TickPhase.Preempt, () => {
      preemptBatchRuns(state, placement.unplaced, now).forEach((run) =>
        log.recordStop(run, 'preempted'),
      );
    });
    return placement;
  }
}
