/**
 * Holds pending tasks that can never fit or never succeed, and releases held ones when the configuration
 * of their kind changes or the fleet gains a VM on which they fit. A held task costs nothing but its row.
 */
import type { BatchKindConfiguration } from '@figjunction/config';
import { PossibleFit } from '@figjunction/decisions';
import type { PlacementVm } from '@figjunction/decisions';
import type { Instant } from '@figjunction/time';
import { DecisionKind, TaskState, TaskType } from '@figjunction/types';
import type { AgentId, TaskRow } from '@figjunction/types';
import { placementVms } from './placement-view.js';
import { ScopeSizes } from './scope-sizes.js';
import type { SizeEstimates } from './scope-sizes.js';
import { configurationOf, runInBackground, createTaskDecision } from './task-context.js';
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
/** Stands for the hash of a kind that is not in the configuration. */
const NO_SCOPE = 'none';

enum HoldCause {
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
    const sizes = new ScopeSizes({ configuration, estimates: this.estimates, vms });
    let changes = 0;
    for (const entry of this.candidates(TaskState.Pending)) {
      const hold = this.holdFor(entry.value, sizes, now);
      if (hold !== null && changes < CHANGES_MAXIMUM) {
        changes += 1;
        this.write(entry, this.heldRow(entry.value, hold, sizes));
      }
    }
    for (const entry of this.candidates(TaskState.Held)) {
      const reason = this.releaseReason(entry.value, sizes);
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

  private holdFor(row: TaskRow, sizes: ScopeSizes, now: Instant): Hold | null {
    const scopeSize = sizes.get(row);
    if (scopeSize === null) {
      return row.type === TaskType.Instance
        ? null
        : { cause: HoldCause.KindRemoved, reason: `kind ${row.kind} is not in the configuration` };
    }
    if (row.type === TaskType.Batch) {
      const failing = this.failureHold(scopeSize.scope as BatchKindConfiguration, row);
      if (failing !== null) {
        return failing;
      }
    }
    const isFleetKnown = now - this.context.startedAt >= FLEET_KNOWN_MS;
    if (isFleetKnown && scopeSize.fit === PossibleFit.TooLarge) {
      const { processorMillicores, memoryMegabytes, accelerators } = scopeSize.certainSize;
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

  private heldRow(row: TaskRow, hold: Hold, sizes: ScopeSizes): TaskRow {
    const decision = createTaskDecision(this.context.entry, row, {
      kind: DecisionKind.Hold,
      decision: `Held: ${hold.reason}`,
      inputs: [
        { name: CAUSE_INPUT, value: hold.cause },
        { name: SCOPE_INPUT, value: sizes.get(row)?.hash ?? NO_SCOPE },
        { name: 'failures', value: row.failures },
      ],
    });
    return { ...row, state: TaskState.Held, reason: hold.reason, lastDecision: decision };
  }

  /** Why a held task may be tried again; null while it stays held. */
  private releaseReason(row: TaskRow, sizes: ScopeSizes): string | null {
    const scopeSize = sizes.get(row);
    if (scopeSize === null) {
      return null;
    }
    if (inputOf(row, SCOPE_INPUT) !== scopeSize.hash) {
      return 'the configuration of its kind changed';
    }
    return inputOf(row, CAUSE_INPUT) === HoldCause.NeverFits &&
      scopeSize.fit === PossibleFit.Possible
      ? 'the fleet has a VM that is large enough'
      : null;
  }

  private releasedRow(row: TaskRow, reason: string): TaskRow {
    const decision = createTaskDecision(this.context.entry, row, {
      kind: DecisionKind.Requeue,
      decision: `Released because ${reason}`,
      inputs: [{ name: 'failures', value: row.failures }],
    });
    this.context.failures.clearKindFailures(row.kind);
    return {
      ...row,
      state: TaskState.Pending,
      reason: null,
      failures: 0,
      failedOn: [],
      lastDecision: decision,
    };
  }

  private write(entry: TaskEntry, value: TaskRow): void {
    runInBackground(this.context, 'hold', async () => {
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
