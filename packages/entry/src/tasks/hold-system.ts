/**
 * Holds pending tasks that can never fit or never succeed, and releases held ones when the configuration
 * of their kind changes or the fleet gains a VM on which they fit. A held task costs nothing but its row.
 */
import { createHash } from 'node:crypto';
import type { BatchKindConfiguration, OperatorConfiguration } from '@figjunction/config';
import { PossibleFit, possibleFit } from '@figjunction/decisions';
import type { PlacementVm } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskState, TaskType } from '@figjunction/types';
import type { AgentId, Resources, TaskRow } from '@figjunction/types';
import { declaredSizeOf, placementVms } from './placement-view.js';
import type { SizeEstimates } from './placement-view.js';
import { configurationOf, runAside, scopeOf, taskDecision } from './task-context.js';
import type { TaskContext } from './task-context.js';
import { shardOfRow } from './task-identifiers.js';
import type { TaskEntry } from './task-table.js';

/** A young process does not know the whole fleet, so it does not conclude that a task never fits. */
const FLEET_KNOWN_MS = 10_000;
/** A VM that was replaced usually comes back with the same size. */
const VM_REMEMBERED_MS = 600_000;
/** Bounds the writes of one run, so that a flood of impossible jobs is held in steps. */
const CHANGES_MAXIMUM = 256;
const SCOPE_INPUT = 'scopeHash';
const CAUSE_INPUT = 'cause';
const SCOPE_HASH_LENGTH = 16;

export enum HoldCause {
  NeverFits = 'never-fits',
  KindRemoved = 'kind-removed',
  KindFails = 'kind-fails',
  FailedTooOften = 'failed-too-often',
}

interface Hold {
  cause: HoldCause;
  reason: string;
}

export class HoldSystem {
  private readonly seen = new Map<AgentId, { vm: PlacementVm; at: Instant }>();

  constructor(
    private readonly context: TaskContext,
    private readonly estimates: SizeEstimates,
  ) {}

  run(now: Instant): void {
    const configuration = configurationOf(this.context);
    if (configuration === null || !this.context.entry.configuration.isConfirmed(now)) {
      return;
    }
    const vms = this.knownVms(now);
    let changes = 0;
    for (const entry of this.candidates(TaskState.Pending)) {
      const hold = this.holdFor(configuration, entry.value, vms, now);
      if (hold !== null && changes < CHANGES_MAXIMUM) {
        changes += 1;
        this.write(entry, this.heldRow(configuration, entry.value, hold));
      }
    }
    for (const entry of this.candidates(TaskState.Held)) {
      const reason = this.releaseReason(configuration, entry.value, vms);
      if (reason !== null && changes < CHANGES_MAXIMUM) {
        changes += 1;
        this.write(entry, this.releasedRow(entry.value, reason));
      }
    }
  }

  /** VMs that announced themselves lately, so that a restarting VM does not count as gone. */
  private knownVms(now: Instant): PlacementVm[] {
    for (const vm of placementVms(this.context, now)) {
      this.seen.set(vm.agentId, { vm, at: now });
    }
    for (const [agentId, { at }] of this.seen) {
      if (now - at > VM_REMEMBERED_MS) {
        this.seen.delete(agentId);
      }
    }
    return [...this.seen.values()].map(({ vm }) => vm);
  }

  private candidates(state: TaskState): TaskEntry[] {
    return [...this.context.store.rows.inState(state)].filter(
      ({ key, value }) =>
        !this.context.store.isBusy(key) && this.context.shards.isServed(shardOfRow(value)),
    );
  }

  private holdFor(
    configuration: OperatorConfiguration,
    row: TaskRow,
    vms: PlacementVm[],
    now: Instant,
  ): Hold | null {
    const scope = scopeOf(configuration, row);
    if (scope === undefined) {
      return row.type === TaskType.Instance
        ? null
        : { cause: HoldCause.KindRemoved, reason: `kind ${row.kind} is not in the configuration` };
    }
    if (row.type === TaskType.Batch) {
      const failing = this.failureHold(scope as BatchKindConfiguration, row);
      if (failing !== null) {
        return failing;
      }
    }
    const size = this.sizeFor(configuration, row);
    const isFleetKnown = now - this.context.startedAt >= FLEET_KNOWN_MS;
    if (isFleetKnown && possibleFit(size, scope.allowed, vms) === PossibleFit.TooLarge) {
      const { processorMillicores, memoryMegabytes, accelerators } = size;
      return {
        cause: HoldCause.NeverFits,
        reason: `no allowed VM is large enough for ${processorMillicores} millicores, ${memoryMegabytes} MB and ${accelerators} accelerators`,
      };
    }
    return null;
  }

  private failureHold(kind: BatchKindConfiguration, row: TaskRow): Hold | null {
    if (row.failures >= kind.failuresMaximum) {
      const cause = row.reason === null ? '' : `, at last with: ${row.reason}`;
      return {
        cause: HoldCause.FailedTooOften,
        reason: `failed ${row.failures} times, its kind allows ${kind.failuresMaximum}${cause}`,
      };
    }
    if (
      this.context.entry.settings.policy.quarantine &&
      this.context.failures.isKindFailing(row.kind)
    ) {
      return {
        cause: HoldCause.KindFails,
        reason: `kind ${row.kind} fails on several workers without a success`,
      };
    }
    return null;
  }

  private heldRow(configuration: OperatorConfiguration, row: TaskRow, hold: Hold): TaskRow {
    const decision = taskDecision(this.context.entry, row, {
      kind: DecisionKind.Hold,
      decision: `Held: ${hold.reason}`,
      inputs: [
        { name: CAUSE_INPUT, value: hold.cause },
        { name: SCOPE_INPUT, value: hashOfScope(configuration, row) },
        { name: 'failures', value: row.failures },
      ],
    });
    return { ...row, state: TaskState.Held, reason: hold.reason, lastDecision: decision };
  }

  /** Why a held task may be tried again; null while it stays held. */
  private releaseReason(
    configuration: OperatorConfiguration,
    row: TaskRow,
    vms: PlacementVm[],
  ): string | null {
    const scope = scopeOf(configuration, row);
    if (scope === undefined) {
      return null;
    }
    if (inputOf(row, SCOPE_INPUT) !== hashOfScope(configuration, row)) {
      return 'the configuration of its kind changed';
    }
    if (inputOf(row, CAUSE_INPUT) !== HoldCause.NeverFits) {
      return null;
    }
    const size = this.sizeFor(configuration, row);
    return possibleFit(size, scope.allowed, vms) === PossibleFit.Possible
      ? 'the fleet has a VM that is large enough'
      : null;
  }

  private releasedRow(row: TaskRow, reason: string): TaskRow {
    const decision = taskDecision(this.context.entry, row, {
      kind: DecisionKind.Requeue,
      decision: `Released because ${reason}`,
      inputs: [{ name: 'failures', value: row.failures }],
    });
    this.context.failures.forgetKind(row.kind);
    return {
      ...row,
      state: TaskState.Pending,
      reason: null,
      failures: 0,
      failedOn: [],
      lastDecision: decision,
    };
  }

  /** Only a size that is declared or well known makes a task impossible. */
  private sizeFor(configuration: OperatorConfiguration, row: TaskRow): Resources {
    const declared = declaredSizeOf(configuration, row);
    return this.estimates.isKnown(row.kind) ? this.estimates.sizeOf(row.kind, declared) : declared;
  }

  private write(entry: TaskEntry, value: TaskRow): void {
    runAside(this.context, 'hold', async () => {
      const { applied } = await this.context.store.write(entry.key, entry, value);
      if (applied && value.lastDecision !== null) {
        this.context.entry.decisions.add(value.lastDecision);
        this.context.entry.metrics.count('holds_total', { state: value.state });
      }
    });
  }
}

function inputOf(row: TaskRow, name: string): string | number | boolean | null {
  return row.lastDecision?.inputs.find((input) => input.name === name)?.value ?? null;
}

/** Tells revisions that change the kind from those that do not. */
function hashOfScope(configuration: OperatorConfiguration, row: TaskRow): string {
  const content = JSON.stringify(scopeOf(configuration, row) ?? null);
  return createHash('sha256').update(content).digest('hex').slice(0, SCOPE_HASH_LENGTH);
}
