/**
 * Caches the sizes of kinds and services for one run of a system. All tasks of a kind have the same size
 * within a run, so each size is computed once, however many tasks are pending.
 */
import { createHash } from 'node:crypto';
import type {
  BatchKindConfiguration,
  OperatorConfiguration,
  ServiceConfiguration,
} from '@figjunction/config';
import {
  DECLARED_SIZE_ERROR_MAXIMUM,
  PossibleFit,
  maximumOfResources,
  minimumOfResources,
  possibleFit,
  scaleResources,
} from '@figjunction/decisions';
import type { PlacementVm } from '@figjunction/decisions';
import { TaskType } from '@figjunction/types';
import type { KindName, Resources, TaskRow } from '@figjunction/types';
import { scopeOf } from './task-context.js';

const HASH_LENGTH = 16;

/** Size estimates of kinds, from usage measurements. */
export interface SizeEstimates {
  /** The size to count for a task of the kind; larger than declared while there are few measurements. */
  sizeOf(kind: KindName, declared: Resources): Resources;
  /** Whether there are enough measurements to rely on the estimate. */
  isKnown(kind: KindName): boolean;
  /** False when declared sizes are used unchanged. */
  isLearning(): boolean;
}

export interface ScopeSize {
  scope: BatchKindConfiguration | ServiceConfiguration;
  /** The size to reserve. */
  size: Resources;
  /** The most that a task is expected to use. */
  worstCaseSize: Resources;
  /** Whether enough tasks of the kind were measured to rely on the size. */
  isSizeKnown: boolean;
  /** The size that decides whether a task can ever fit: the declared size, or the estimate once it is known. */
  certainSize: Resources;
  /** Whether `certainSize` fits on any known VM that the scope allows. */
  fit: PossibleFit;
  /** Hash of the scope's configuration; it changes only with revisions that change the scope. */
  hash: string;
}

export interface ScopeSizesOptions {
  configuration: OperatorConfiguration;
  estimates: SizeEstimates;
  vms: PlacementVm[];
}

type RowScope = Pick<TaskRow, 'type' | 'kind'>;

export class ScopeSizes {
  private readonly cache = new Map<string, ScopeSize | null>();

  constructor(private readonly options: ScopeSizesOptions) {}

  /** Null for a kind or service that is not in the configuration. */
  get(row: RowScope): ScopeSize | null {
    const name = `${row.type}/${row.kind}`;
    let sizes = this.cache.get(name);
    if (sizes === undefined) {
      sizes = this.compute(row);
      this.cache.set(name, sizes);
    }
    return sizes;
  }

  private compute(row: RowScope): ScopeSize | null {
    const { configuration, estimates, vms } = this.options;
    const scope = scopeOf(configuration, row);
    if (scope === undefined) {
      return null;
    }
    const usesDeclaredSize = row.type === TaskType.Instance || !estimates.isLearning();
    const estimate = usesDeclaredSize ? scope.size : estimates.sizeOf(row.kind, scope.size);
    const isKnown = usesDeclaredSize || estimates.isKnown(row.kind);
    const size = isKnown ? estimate : this.capToLargestVm(scope, estimate);
    const certainSize = isKnown ? estimate : scope.size;
    return {
      scope,
      size,
      worstCaseSize: isKnown ? size : worstCase(scope.size, size),
      isSizeKnown: estimates.isKnown(row.kind),
      certainSize,
      fit: possibleFit(certainSize, scope.allowed, vms),
      hash: hashOf(scope),
    };
  }

  /**
   * Caps the estimate of an unknown kind at the largest VM on which the declared size fits. Such an estimate
   * is only a safety margin and must not make a task impossible to place that fits as declared.
   */
  private capToLargestVm({ size, allowed }: ScopeSize['scope'], estimate: Resources): Resources {
    const { vms } = this.options;
    if (possibleFit(estimate, allowed, vms) !== PossibleFit.TooLarge) {
      return estimate;
    }
    const [largest] = vms
      .filter((vm) => possibleFit(size, allowed, [vm]) === PossibleFit.Possible)
      .sort(
        (left, right) => right.capacity.processorMillicores - left.capacity.processorMillicores,
      );
    return largest === undefined ? estimate : minimumOfResources(estimate, largest.capacity);
  }
}

function worstCase(declared: Resources, size: Resources): Resources {
  const worst = scaleResources(declared, DECLARED_SIZE_ERROR_MAXIMUM);
  return maximumOfResources(size, { ...worst, accelerators: declared.accelerators });
}

function hashOf(scope: ScopeSize['scope']): string {
  return createHash('sha256').update(JSON.stringify(scope)).digest('hex').slice(0, HASH_LENGTH);
}
