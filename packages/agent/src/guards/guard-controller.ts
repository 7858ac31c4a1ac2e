/**
 * Passes the measurements of this VM to the guards and applies their decisions: throttles and evictions of
 * batch runs that slow services down.
 */
import {
  GuardActionKind,
  createGuardState,
  createInterferenceTable,
  decideGuardActions,
  recordGuardActions,
  predictSlowdown,
  recordVmUsage,
} from '@figjunction/decisions';
import type {
  GuardAction,
  GuardCandidate,
  GuardDecision,
  GuardMeasurement,
  KindLimits,
} from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskType } from '@figjunction/types';
import type { DecisionInput, GuardSettings, KindName, WorkerUsage } from '@figjunction/types';
import { recordRunDecision } from '../tasks/decision-records.js';
import { isCheckpointable, computeLossCost } from '../tasks/task-loads.js';
import { orderStop } from '../tasks/stop-orders.js';
import { TaskPhase } from '../tasks/task-table.js';
import type { TaskEntry } from '../tasks/task-table.js';
import { holdsLease } from '../tasks/task-runtime.js';
import type { TaskRuntime } from '../tasks/task-runtime.js';

/** How long the object store counts as unavailable after a failed checkpoint. */
const OBJECT_STORE_RETRY_DELAY_MS = 10_000;

/** Time until a throttle takes effect: the throttle control sends it to the worker on its next tick. */
const THROTTLE_DELAY_MS = 500;

export class GuardController {
  private readonly state = createGuardState();

  private readonly interference = createInterferenceTable();

  /** The eviction in progress; no decision is made until it ends. */
  private pendingEviction: { entry: TaskEntry; action: GuardAction } | null = null;

  constructor(private readonly runtime: TaskRuntime) {}

  /** Decides on a new measurement unless guards are disabled, the lease is lost or an eviction runs. */
  handleUsage(usage: WorkerUsage): void {
    const { context } = this.runtime;
    const settings = context.configuration.current()?.guards;
    if (!context.settings.policy.guards || settings === undefined || !holdsLease(context)) {
      return;
    }
    this.recordInterference(usage);
    if (this.checkPendingEviction()) {
      return;
    }
    const measurement = toGuardMeasurement(usage);
    const decision = decideGuardActions(this.state, {
      now: context.clock.now(),
      settings,
      measurement,
      candidates: this.listCandidates(),
      objectStoreAvailable: this.isObjectStoreAvailable(),
    });
    this.applyDecision(decision, settings, measurement);
  }

  /** Resets throttles and kind restraints when guards are disabled; nothing would relax them otherwise. */
  resetThrottlesWhenDisabled(): void {
    const { context, tasks } = this.runtime;
    const guards = context.configuration.current()?.guards;
    const isEnabled = context.settings.policy.guards && (guards?.enabled ?? true);
    if (!isEnabled) {
      this.state.kindLimits.clear();
      for (const entry of tasks.all()) {
        entry.guardThrottle = 1;
      }
    }
  }

  /** Returns whether an eviction is in progress; records its effect when the run has ended. */
  private checkPendingEviction(): boolean {
    if (this.pendingEviction === null) {
      return false;
    }
    const { entry, action } = this.pendingEviction;
    const hasEnded =
      entry.phase === TaskPhase.Ended || this.runtime.tasks.get(entry.taskId) !== entry;
    if (!hasEnded && entry.stopOrder !== null) {
      return true;
    }
    this.pendingEviction = null;
    if (hasEnded) {
      recordGuardActions(this.state, [action], this.runtime.context.clock.now());
    }
    return false;
  }

  private listCandidates(): GuardCandidate[] {
    return this.runtime.tasks
      .inPhase(TaskPhase.Running)
      .filter((entry) => entry.type === TaskType.Batch && entry.stopOrder === null)
      .map((entry) => ({
        taskId: entry.taskId,
        kind: entry.kind,
        effect: this.estimateEffect(entry),
        throttle: entry.guardThrottle,
        lossCost: computeLossCost(this.runtime, entry),
        checkpointable: isCheckpointable(this.runtime, entry),
        evictions: entry.evictions,
      }));
  }

  /** The limits on further tasks of a kind; null when the kind is not restrained. */
  restraintOf(kind: KindName): KindLimits | null {
    return this.state.kindLimits.get(kind) ?? null;
  }

  /** Scales the measured use, which is stated without throttles, to match the slowdown measured with them. */
  private recordInterference({ tasks }: WorkerUsage): void {
    const throttled = tasks.map((one) => {
      const throttle = this.runtime.tasks.get(one.taskId)?.throttle ?? 1;
      const processorMillicores = one.used.processorMillicores * throttle;
      return { ...one, used: { ...one.used, processorMillicores } };
    });
    recordVmUsage(this.interference, this.runtime.context.capacityReport.capacity, throttled);
  }

  /**
   * The largest slowdown that the task is predicted to add to a service on this VM, from earlier measurements
   * of its kind. Without interference prediction, the task's share of the processors.
   */
  private estimateEffect(entry: TaskEntry): number {
    const { context } = this.runtime;
    const { processorMillicores } = entry.measured ?? entry.declared;
    const share =
      processorMillicores / Math.max(1, context.capacityReport.capacity.processorMillicores);
    if (!context.settings.policy.interference) {
      return share;
    }
    const batch = [{ kind: entry.kind, share }];
    const effects = context.instances
      .all()
      .map(({ service }) => predictSlowdown(this.interference, service, batch, 1) - 1);
    return Math.max(0, ...effects);
  }

  private isObjectStoreAvailable(): boolean {
    const { context, checkpointFailedAt } = this.runtime;
    return context.clock.now() - checkpointFailedAt >= OBJECT_STORE_RETRY_DELAY_MS;
  }

  private applyDecision(
    decision: GuardDecision,
    settings: GuardSettings,
    measurement: GuardMeasurement,
  ): void {
    const { runtime } = this;
    const now = runtime.context.clock.now();
    const inputs = listDecisionInputs(decision, settings, measurement, now);
    const throttles: GuardAction[] = [];
    for (const action of decision.actions) {
      const entry = runtime.tasks.get(action.taskId);
      if (entry !== undefined && changesThrottle(action)) {
        entry.guardThrottle = action.throttle;
        throttles.push(action);
        const text = `${action.kind} the run to ${Math.round(action.throttle * 100)} %`;
        this.recordDecision(entry, DecisionKind.Throttle, text, inputs, decision);
      } else if (entry !== undefined) {
        this.evict(entry, action, inputs, decision);
      }
    }
    recordGuardActions(this.state, throttles, now + THROTTLE_DELAY_MS);
  }

  private evict(
    entry: TaskEntry,
    action: GuardAction,
    inputs: DecisionInput[],
    decision: GuardDecision,
  ): void {
    const service = decision.worst?.service ?? '';
    const reason = `service ${service} is slowed down on this VM`;
    const text = `${action.kind} the run: ${reason}`;
    const record = this.recordDecision(entry, DecisionKind.Evict, text, inputs, decision);
    const optional = action.kind === GuardActionKind.Move;
    orderStop(this.runtime, entry, {
      checkpoint: true,
      reason,
      isBestEffort: optional,
      decision: record,
    });
    this.pendingEviction = { entry, action };
    this.runtime.context.metrics.count('guard_evictions_total', { kind: action.kind });
  }

  private recordDecision(
    entry: TaskEntry,
    kind: DecisionKind,
    text: string,
    inputs: DecisionInput[],
    { rejected }: GuardDecision,
  ) {
    return recordRunDecision(this.runtime, entry, { kind, decision: text, inputs, rejected });
  }
}

function changesThrottle({ kind }: GuardAction): boolean {
  return kind === GuardActionKind.Throttle || kind === GuardActionKind.Relax;
}

function toGuardMeasurement(usage: WorkerUsage): GuardMeasurement {
  const services = usage.tasks.flatMap(({ kind, slowdown }) =>
    slowdown === null ? [] : [{ service: kind, slowdown }],
  );
  return { measuredAt: usage.measuredAtHostMs, services };
}

function listDecisionInputs(
  { worst }: GuardDecision,
  settings: GuardSettings,
  { measuredAt }: GuardMeasurement,
  now: Instant,
): DecisionInput[] {
  return [
    { name: 'service', value: worst?.service ?? '' },
    { name: 'slowdown', value: Math.round((worst?.slowdown ?? 1) * 1_000) / 1_000 },
    { name: 'actAboveSlowdown', value: settings.actAboveSlowdown },
    { name: 'relaxBelowSlowdown', value: settings.relaxBelowSlowdown },
    { name: 'measurementAgeMs', value: Math.round(now - measuredAt) },
  ];
}
