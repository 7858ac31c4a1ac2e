/**
 * Sizes of kinds and services for one run of a system. All tasks of a kind have the same size then, so each
 * is worked out once per run, however many tasks wait.
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

/** What is learnt about the sizes of kinds. */
export interface SizeEstimates {
  /** The size to count for a task of the kind; wider than declared while little is known. */
  sizeOf(kind: KindName, declared: Resources): Resources;
  /** Whether enough was measured to trust the size. */
  isKnown(kind: KindName): boolean;
  /** False when declared sizes are taken as they are. */
  isLearning(): boolean;
}

export interface ScopeSize {
  scope: BatchKindConfiguration | ServiceConfiguration;
  /** The size to reserve. */
  size: Resources;
  /** What a task may turn out to use. */
  worstCaseSize: Resources;
  /** Whether enough tasks of the kind were measured to trust the size. */
  isSizeKnown: boolean;
  /** The size that decides whether a task can ever fit: declared or well known. */
  certainSize: Resources;
  /** Whether the certain size fits on any allowed VM that is known. */
  fit: PossibleFit;
  /** Tells revisions that change the scope from those that do not. */
  hash: string;
}

export interface ScopeSizesOptions {
  configuration: OperatorConfiguration;
  estimates: SizeEstimates;
  vms: PlacementVm[];
}

type RowScope = Pick<TaskRow, 'type' | 'kind'>;

export class ScopeSizes {
  private readonly known = new Map<string, ScopeSize | null>();

  constructor(private readonly options: ScopeSizesOptions) {}

  /** Null for a kind or service that is not in the configuration. */
  get(row: RowScope): ScopeSize | null {
    const name = `${row.type}/${row.kind}`;
    let sizes = this.known.get(name);
    if (sizes === undefined) {
      sizes = this.compute(row);
      this.known.set(name, sizes);
    }
    return sizes;
  }

  private compute(row: RowScope): ScopeSize | null {
    const { configuration, estimates, vms } = this.options;
    const scope = scopeOf(configuration, row);
    if (scope === undefined) {
      return null;
    }
    const isTrusted = row.type === TaskType.Instance || !estimates.isLearning();
    const estimate = isTrusted ? scope.size : estimates.sizeOf(row.kind, scope.size);
    const isKnown = isTrusted || estimates.isKnown(row.kind);
    const size = isKnown ? estimate : this.cutToLargestVm(scope, estimate);
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
   * While a kind is not known its estimate is only a caution, which must not make a task impossible that
   * fits as declared: it is cut to the largest VM on which the declared size fits.
   */
  private cutToLargestVm({ size, allowed }: ScopeSize['scope'], estimate: Resources): Resources {
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
