/**
 * Feeds the measurements of this VM to the guard ladder and carries out what it decides.
 */
import {
  GuardActionKind,
  createGuardState,
  createInterferenceTable,
  decideGuards,
  noteGuardEffect,
  predictSlowdown,
  recordVmUsage,
} from '@figjunction/decisions';
import type {
  GuardAction,
  GuardCandidate,
  GuardDecision,
  GuardMeasurement,
  KindRestraint,
} from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskType } from '@figjunction/types';
import type { DecisionInput, GuardSettings, KindName, WorkerUsage } from '@figjunction/types';
import { decisionAboutRun } from '../tasks/decision-about-run.js';
import { isCheckpointable, lossCostOf } from '../tasks/room-loads.js';
import { orderStop } from '../tasks/stop-orders.js';
import { TaskPhase } from '../tasks/task-table.js';
import type { TaskEntry } from '../tasks/task-table.js';
import { holdsLease } from '../tasks/task-runtime.js';
import type { TaskRuntime } from '../tasks/task-runtime.js';

/** After a failed checkpoint the object store counts as down for this long. */
const STORE_DOWN_MS = 10_000;

/** A throttle set by the guards reaches the worker with the next run of the throttle control. */
const THROTTLE_DELAY_MS = 500;

export class GuardShell {
  private readonly state = createGuardState();

  private readonly interference = createInterferenceTable();

  /** The eviction under way and when it was ordered; no decision is made beside it. */
  private evicting: { entry: TaskEntry; action: GuardAction } | null = null;

  constructor(private readonly runtime: TaskRuntime) {}

  onUsage(usage: WorkerUsage): void {
    const { context } = this.runtime;
    const settings = context.configuration.current()?.guards;
    if (!context.settings.policy.guards || settings === undefined || !holdsLease(context)) {
      return;
    }
    this.learnInterference(usage);
    if (this.isEvicting()) {
      return;
    }
    const measurement = measurementOf(usage);
    const decision = decideGuards(this.state, {
      now: context.clock.now(),
      settings,
      measurement,
      candidates: this.candidates(),
      objectStoreAvailable: this.isStoreAvailable(),
    });
    this.carryOut(decision, settings, measurement);
  }

  /** Without guards, or without measurements, earlier throttles do not stay for ever. */
  releaseWhenDisabled(): void {
    const { context, tasks } = this.runtime;
    const guards = context.configuration.current()?.guards;
    const isEnabled = context.settings.policy.guards && (guards?.enabled ?? true);
    if (!isEnabled) {
      this.state.kindRestraints.clear();
      for (const entry of tasks.all()) {
        entry.guardThrottle = 1;
      }
    }
  }

  private isEvicting(): boolean {
    if (this.evicting === null) {
      return false;
    }
    const { entry, action } = this.evicting;
    const isGone =
      entry.phase === TaskPhase.Ended || this.runtime.tasks.get(entry.taskId) !== entry;
    if (!isGone && entry.order !== null) {
      return true;
    }
    this.evicting = null;
    if (isGone) {
      noteGuardEffect(this.state, [action], this.runtime.context.clock.now());
    }
    return false;
  }

  private candidates(): GuardCandidate[] {
    return this.runtime.tasks
      .inPhase(TaskPhase.Running)
      .filter((entry) => entry.type === TaskType.Batch && entry.order === null)
      .map((entry) => ({
        taskId: entry.taskId,
        kind: entry.kind,
        effect: this.effectOf(entry),
        throttle: entry.guardThrottle,
        lossCost: lossCostOf(this.runtime, entry),
        checkpointable: isCheckpointable(this.runtime, entry),
        evictions: entry.evictions,
      }));
  }

  /** What holds for further tasks of a kind; null when it is not restrained. */
  restraintOf(kind: KindName): KindRestraint | null {
    return this.state.kindRestraints.get(kind) ?? null;
  }

  /** The measured use is without throttles, while the slowdown was caused with them. */
  private learnInterference({ tasks }: WorkerUsage): void {
    const throttled = tasks.map((one) => {
      const throttle = this.runtime.tasks.get(one.taskId)?.throttle ?? 1;
      const processorMillicores = one.used.processorMillicores * throttle;
      return { ...one, used: { ...one.used, processorMillicores } };
    });
    recordVmUsage(this.interference, this.runtime.context.room.capacity, throttled);
  }

  /** The slowdown that the task adds to the services on this VM, by what was learnt of its kind. */
  private effectOf(entry: TaskEntry): number {
    const { context } = this.runtime;
    const { processorMillicores } = entry.measured ?? entry.declared;
    const share = processorMillicores / Math.max(1, context.room.capacity.processorMillicores);
    if (!context.settings.policy.interference) {
      return share;
    }
    const batch = [{ kind: entry.kind, share }];
    const effects = context.instances
      .all()
      .map(({ service }) => predictSlowdown(this.interference, service, batch, 1) - 1);
    return Math.max(0, ...effects);
  }

  private isStoreAvailable(): boolean {
    const { context, checkpointFailedAt } = this.runtime;
    return context.clock.now() - checkpointFailedAt >= STORE_DOWN_MS;
  }

  private carryOut(
    decision: GuardDecision,
    settings: GuardSettings,
    measurement: GuardMeasurement,
  ): void {
    const { runtime } = this;
    const now = runtime.context.clock.now();
    const inputs = inputsOf(decision, settings, measurement, now);
    const throttles: GuardAction[] = [];
    for (const action of decision.actions) {
      const entry = runtime.tasks.get(action.taskId);
      if (entry !== undefined && isThrottle(action)) {
        entry.guardThrottle = action.throttle;
        throttles.push(action);
        const text = `${action.kind} the run to ${Math.round(action.throttle * 100)} %`;
        this.record(entry, DecisionKind.Throttle, text, inputs, decision);
      } else if (entry !== undefined) {
        this.evict(entry, action, inputs, decision);
      }
    }
    noteGuardEffect(this.state, throttles, now + THROTTLE_DELAY_MS);
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
    const record = this.record(entry, DecisionKind.Evict, text, inputs, decision);
    const optional = action.kind === GuardActionKind.Move;
    orderStop(this.runtime, entry, { checkpoint: true, reason, optional, decision: record });
    this.evicting = { entry, action };
    this.runtime.context.metrics.count('guard_evictions_total', { kind: action.kind });
  }

  private record(
    entry: TaskEntry,
    kind: DecisionKind,
    text: string,
    inputs: DecisionInput[],
    { rejected }: GuardDecision,
  ) {
    return decisionAboutRun(this.runtime, entry, { kind, decision: text, inputs, rejected });
  }
}

function isThrottle({ kind }: GuardAction): boolean {
  return kind === GuardActionKind.Throttle || kind === GuardActionKind.Relax;
}

function measurementOf(usage: WorkerUsage): GuardMeasurement {
  const services = usage.tasks.flatMap(({ kind, slowdown }) =>
    slowdown === null ? [] : [{ service: kind, slowdown }],
  );
  return { measuredAt: usage.measuredAtHostMs, services };
}

function inputsOf(
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
