/**
 * Checks that no sequence of reservations, starts, ends, restarts and measurements brings a VM over its
 * capacity, even if declared sizes are five times too small.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Resources } from '@figjunction/types';
import {
  createEstimateTable,
  estimateSize,
  isKindSizeKnown,
  recordUsage,
} from '../estimates/index.js';
import { planOverloadEvictions, planThrottles } from './overload.js';
import type { OverloadTask } from './overload.js';
import { isWithinCapacity, scaleResources, sumResources } from './resource-arithmetic.js';
import { getAccountedSize, describeCapacityShortage } from './free-capacity.js';
import type { TaskLoad } from './free-capacity.js';

const SEED = 20_260_101;
const CAPACITY: Resources = {
  processorMillicores: 16_000,
  memoryMegabytes: 64_000,
  accelerators: 2,
};

interface SimulatedTask extends OverloadTask {
  kind: string;
  trueSize: Resources;
  isRunning: boolean;
}

enum StepKind {
  Reserve = 'reserve',
  Start = 'start',
  End = 'end',
  Measure = 'measure',
  Restart = 'restart',
}

const sizes = fc.record({
  processorMillicores: fc.integer({ min: 100, max: 6_000 }),
  memoryMegabytes: fc.integer({ min: 100, max: 20_000 }),
  accelerators: fc.integer({ min: 0, max: 1 }),
});

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(...Object.values(StepKind)),
    position: fc.nat({ max: 50 }),
    name: fc.constantFrom('reprint', 'menu', 'schedule'),
  }),
  { maxLength: 80 },
);

/** Each kind has one declared size and one true size, up to five times larger. */
const kinds = fc.record({
  declared: fc.record({ reprint: sizes, menu: sizes, schedule: sizes }),
  factor: fc.double({ min: 0.2, max: 5, noNaN: true }),
});

class SimulatedVm {
  tasks: SimulatedTask[] = [];

  private estimates = createEstimateTable();

  private clock = 0;

  constructor(
    private readonly declared: Record<string, Resources>,
    private readonly factor: number,
  ) {}

  applyStep(step: { kind: StepKind; position: number; name: string }): void {
    this.clock += 1;
    const task = this.tasks[step.position % Math.max(1, this.tasks.length)];
    if (step.kind === StepKind.Reserve) {
      this.reserve(step.name);
    } else if (step.kind === StepKind.Measure) {
      this.tasks.filter(({ isRunning }) => isRunning).forEach((one) => this.measure(one));
    } else if (step.kind === StepKind.Restart) {
      this.restart();
    } else if (task !== undefined && step.kind === StepKind.Start) {
      task.isRunning = true;
    } else if (step.kind === StepKind.End) {
      this.tasks = this.tasks.filter((one) => one !== task);
    }
  }

  /** Resources that the running tasks use with the current throttles. */
  calculateUse(): Resources {
    const throttles = planThrottles(CAPACITY, this.loads());
    const used = this.tasks
      .filter(({ isRunning }) => isRunning)
      .map(({ taskId, trueSize }) => ({
        ...trueSize,
        processorMillicores: Math.floor(
          trueSize.processorMillicores * (throttles.get(taskId) ?? 1),
        ),
      }));
    return sumResources(used);
  }

  loads(): SimulatedTask[] {
    return this.tasks.map((task) => ({
      ...task,
      estimated: estimateSize(this.estimates, task.kind, task.declared),
      isSizeUnknown: task.measured === null && !isKindSizeKnown(this.estimates, task.kind),
    }));
  }

  private reserve(kind: string): void {
    const declared = this.declared[kind] ?? CAPACITY;
    const trueSize = { ...scaleResources(declared, this.factor), ...pickAccelerators(declared) };
    const candidate: SimulatedTask = {
      taskId: `${kind}.${this.clock}`,
      kind,
      declared,
      trueSize,
      estimated: estimateSize(this.estimates, kind, declared),
      measured: null,
      isSizeUnknown: !isKindSizeKnown(this.estimates, kind),
      isBatch: true,
      isRunning: false,
      lossCost: this.clock,
    };
    if (describeCapacityShortage(CAPACITY, this.loads(), candidate) === null) {
      this.tasks.push(candidate);
    }
  }

  private measure(task: SimulatedTask): void {
    const { taskId, kind, trueSize } = task;
    task.measured = trueSize;
    recordUsage(this.estimates, { taskId, kind, used: trueSize, measuredAt: this.clock });
  }

  /** The next incarnation adopts the running tasks and starts with empty estimates. */
  private restart(): void {
    this.estimates = createEstimateTable();
    this.tasks = this.tasks
      .filter(({ isRunning }) => isRunning)
      .map((task) => ({ ...task, measured: null }));
  }
}

function pickAccelerators({ accelerators }: Resources): Pick<Resources, 'accelerators'> {
  return { accelerators };
}

function createBatchTask(overrides: Partial<OverloadTask>): OverloadTask {
  const size = { processorMillicores: 1_000, memoryMegabytes: 1_000, accelerators: 0 };
  return {
    taskId: 'task',
    declared: size,
    estimated: size,
    measured: null,
    isSizeUnknown: false,
    isBatch: true,
    lossCost: 1,
    ...overrides,
  };
}

describe('free capacity of a VM', () => {
  it('never exceeds the capacity for any sequence of events', () => {
    fc.assert(
      fc.property(kinds, steps, ({ declared, factor }, plan) => {
        const vm = new SimulatedVm(declared, factor);
        for (const step of plan) {
          vm.applyStep(step);
          const isSingle = vm.tasks.length === 1;
          const use = vm.calculateUse();
          // A single task that is larger than the VM is admitted only while its size is unknown.
          const bound = isSingle ? { ...CAPACITY, memoryMegabytes: use.memoryMegabytes } : CAPACITY;
          assert.ok(isWithinCapacity(use, bound), JSON.stringify({ use, step }));
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('accounts a task at the larger of estimate and measurement', () => {
    const small = { processorMillicores: 100, memoryMegabytes: 9_000, accelerators: 0 };
    const load: TaskLoad = createBatchTask({ measured: small });
    const expected = { processorMillicores: 1_000, memoryMegabytes: 9_000, accelerators: 0 };
    assert.deepEqual(getAccountedSize(load), expected);
  });

  it('starts a task of unknown size whose worst case does not fit only when it is alone', () => {
    const declared = { processorMillicores: 8_000, memoryMegabytes: 1_000, accelerators: 0 };
    const unsure = createBatchTask({ declared, estimated: declared, isSizeUnknown: true });
    assert.equal(describeCapacityShortage(CAPACITY, [], unsure), null);
    assert.match(describeCapacityShortage(CAPACITY, [unsure], unsure) ?? '', /unknown size/u);
    assert.match(
      describeCapacityShortage(CAPACITY, [unsure], createBatchTask({})) ?? '',
      /unknown size/u,
    );
  });
});

describe('overload of a VM', () => {
  const measuredSize = { processorMillicores: 10_000, memoryMegabytes: 1_000, accelerators: 0 };

  it('throttles tasks of unknown size first, then the cheapest', () => {
    const throttles = planThrottles(CAPACITY, [
      createBatchTask({ taskId: 'cheap', measured: measuredSize, lossCost: 1 }),
      createBatchTask({ taskId: 'expensive', measured: measuredSize, lossCost: 9 }),
      createBatchTask({ taskId: 'unknown', isSizeUnknown: true, lossCost: 99 }),
    ]);
    assert.equal(throttles.get('expensive'), 1);
    assert.ok((throttles.get('unknown') ?? 1) < 0.1);
    const cut = 25_000 - 16_000 - 5_000 * 0.95;
    assert.ok(Math.abs((throttles.get('cheap') ?? 1) - (1 - cut / 10_000)) < 1e-9);
  });

  it('evicts only as many tasks as needed, cheapest first', () => {
    const large = { processorMillicores: 0, memoryMegabytes: 30_000, accelerators: 0 };
    const tasks = ['a', 'b', 'c', 'd'].map((taskId, index) =>
      createBatchTask({ taskId, measured: large, lossCost: 10 - index }),
    );
    assert.deepEqual(planOverloadEvictions(CAPACITY, tasks, ['memoryMegabytes']), ['d', 'c']);
    assert.deepEqual(planOverloadEvictions(CAPACITY, tasks, ['processorMillicores']), []);
  });
});
