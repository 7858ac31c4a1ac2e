/**
 * The placement tick: plans with the tables of this moment and hands the planned tasks of each VM to a
 * procedure that runs beside the loop.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import { planPlacements } from '@figjunction/decisions';
import type { InterferenceEstimator, Placement, PlacementVm } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { ApprovalMode, PlacementMode, TaskState } from '@figjunction/types';
import type { AgentId } from '@figjunction/types';
import { ClaimProcedure } from './claim-procedure.js';
import { LeaseReader } from './lease-reader.js';
import { PendingDelays } from './pending-delays.js';
import { placementTask, placementTeams, placementVms } from './placement-view.js';
import { ScopeSizes } from './scope-sizes.js';
import type { SizeEstimates } from './scope-sizes.js';
import type { ProposalBook } from './proposal-book.js';
import { configurationOf, runInBackground, scopeOf } from './task-context.js';
import type { TaskContext } from './task-context.js';
import type { TaskEntry } from './task-table.js';
import { shardOfRow } from './task-identifiers.js';
import { WaitingLog } from './waiting-log.js';

/** More tasks of one group than a tick can place need not be looked at. */
const GROUP_MAXIMUM = 64;
/** An agent that did not answer a reservation gets no further one for this time. */
const SILENT_AGENT_PAUSE_MS = 1_000;

export interface PlacementSystemOptions {
  context: TaskContext;
  proposals: ProposalBook;
  estimates: SizeEstimates;
  interference: InterferenceEstimator;
}

/** A pending task, and the VM that an approved proposal names for it. */
interface ReadyTask {
  entry: TaskEntry;
  onlyVm: AgentId | null;
}

export class PlacementSystem {
  private readonly delays = new PendingDelays();

  private readonly waiting: WaitingLog;

  private readonly claims: ClaimProcedure;

  private readonly pausedAgents = new Map<AgentId, Instant>();

  /** Heartbeat of each agent that the last pull round used. */
  private readonly pulledHeartbeats = new Map<AgentId, Instant>();

  constructor(private readonly options: PlacementSystemOptions) {
    const { context } = options;
    this.waiting = new WaitingLog(context.entry);
    this.claims = new ClaimProcedure(context, new LeaseReader(context.entry.table));
  }

  run(now: Instant): void {
    const { context } = this.options;
    context.reservations.dropExpired(now);
    context.refusals.forgetAbsent((agentId) => context.entry.agents.get(agentId) !== undefined);
    const configuration = configurationOf(context);
    if (configuration === null || !context.entry.configuration.isConfirmed(now)) {
      context.orders.dropStarts();
      return;
    }
    if (context.isStopping) {
      return;
    }
    const ready = this.collectReady(configuration, now);
    if (ready.length === 0) {
      return;
    }
    const vms = this.usableVms(now);
    const sizes = new ScopeSizes({ configuration, estimates: this.options.estimates, vms });
    const tasks = ready
      .map(({ entry, onlyVm }) => placementTask(configuration, entry, sizes, onlyVm))
      .filter((task) => task !== null);
    const plan = planPlacements({
      tasks,
      vms,
      teams: placementTeams(context, configuration),
      weights: configuration.weights,
      random: context.entry.random,
      interference: context.entry.settings.policy.interference
        ? this.options.interference
        : undefined,
    });
    this.waiting.record(plan.waiting, (key) => context.store.rows.get(key), now);
    this.carryOut(configuration, plan.placements, now);
  }

  /** Pending tasks that may start now; of each group no more than a tick can place. */
  private collectReady(configuration: OperatorConfiguration, now: Instant): ReadyTask[] {
    const groupSizes = new Map<string, number>();
    const ready: ReadyTask[] = [];
    for (const entry of this.options.context.store.rows.inState(TaskState.Pending)) {
      const { team, kind, urgency } = entry.value;
      const group = `${team}|${kind}|${urgency}`;
      const groupSize = groupSizes.get(group) ?? 0;
      if (groupSize < GROUP_MAXIMUM && this.isReady(entry, now)) {
        const task = this.underApproval(configuration, entry);
        if (task !== null) {
          groupSizes.set(group, groupSize + 1);
          ready.push(task);
        }
      }
    }
    return ready;
  }

  /** Null while a proposal for the task waits for approval. */
  private underApproval(configuration: OperatorConfiguration, entry: TaskEntry): ReadyTask | null {
    const { proposals } = this.options;
    if (!this.needsApproval(configuration, entry)) {
      return { entry, onlyVm: null };
    }
    const approved = proposals.approvedFor(entry.value);
    if (approved !== null) {
      return { entry, onlyVm: approved.agentId };
    }
    return proposals.hasOpen(entry.value) ? null : { entry, onlyVm: null };
  }

  private isReady(entry: TaskEntry, now: Instant): boolean {
    const { context } = this.options;
    return (
      !context.store.isBusy(entry.key) &&
      context.shards.isServed(shardOfRow(entry.value)) &&
      this.delays.isDue(entry, now)
    );
  }

  private needsApproval(configuration: OperatorConfiguration, { value }: TaskEntry): boolean {
    return scopeOf(configuration, value)?.placement === ApprovalMode.Approval;
  }

  private usableVms(now: Instant): PlacementVm[] {
    const { agents, settings } = this.options.context.entry;
    return placementVms(this.options.context, now).map((vm) => {
      if (now < (this.pausedAgents.get(vm.agentId) ?? Number.NEGATIVE_INFINITY)) {
        return { ...vm, startsAllowed: 0, limitReason: 'it did not answer the last reservation' };
      }
      const lastHeard = agents.get(vm.agentId)?.lastHeartbeatAt;
      const isUsed = lastHeard === this.pulledHeartbeats.get(vm.agentId);
      if (settings.policy.placementMode === PlacementMode.Pull && isUsed) {
        return { ...vm, startsAllowed: 0, limitReason: 'it has not asked for more work' };
      }
      return vm;
    });
  }

  private carryOut(
    configuration: OperatorConfiguration,
    placements: Placement[],
    now: Instant,
  ): void {
    const { context, proposals } = this.options;
    const byAgent = new Map<AgentId, Placement[]>();
    for (const placement of placements) {
      const entry = context.store.rows.get(placement.task.key);
      if (entry !== undefined) {
        if (this.needsApproval(configuration, entry) && placement.task.onlyVm === null) {
          runInBackground(context, 'propose', () => proposals.propose(entry, placement));
        } else {
          byAgent.set(placement.agentId, [...(byAgent.get(placement.agentId) ?? []), placement]);
        }
      }
    }
    for (const [agentId, group] of byAgent) {
      const agent = context.entry.agents.get(agentId);
      if (agent !== undefined) {
        this.pulledHeartbeats.set(agentId, agent.lastHeartbeatAt);
        runInBackground(context, 'place', async () => {
          const answered = await this.claims.place(agent, group);
          if (!answered) {
            this.pausedAgents.set(agentId, now + SILENT_AGENT_PAUSE_MS);
          }
        });
      }
    }
  }
}
