/**
 * Guards against VMs over capacity: no order of reservations, starts, ends, restarts and measurements may
 * add up to more than the capacity, also with declared sizes five times too small.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import type { Resources } from '@figjunction/types';
import { createEstimateTable, estimateSize, isKindKnown, recordUsage } from '../estimates/index.js';
import { planOverloadEvictions, planThrottles } from './overload.js';
import type { OverloadTask } from './overload.js';
import { isWithinRoom, scaleResources, sumResources } from './resource-arithmetic.js';
import { countedSize, refusalForRoom } from './free-capacity.js';
import type { RoomLoad } from './free-capacity.js';

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

  take(step: { kind: StepKind; position: number; name: string }): void {
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

  /** What the tasks use, with the throttles that are in force. */
  trueUse(): Resources {
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
      isUnsure: task.measured === null && !isKindKnown(this.estimates, task.kind),
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
      isUnsure: !isKindKnown(this.estimates, kind),
      isBatch: true,
      isRunning: false,
      lossCost: this.clock,
    };
    if (refusalForRoom(CAPACITY, this.loads(), candidate) === null) {
      this.tasks.push(candidate);
    }
  }

  private measure(task: SimulatedTask): void {
    const { taskId, kind, trueSize } = task;
    task.measured = trueSize;
    recordUsage(this.estimates, { taskId, kind, used: trueSize, measuredAt: this.clock });
  }

  /** The next incarnation finds what runs on the worker and has learnt nothing yet. */
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

function batchLoad(overrides: Partial<OverloadTask>): OverloadTask {
  const size = { processorMillicores: 1_000, memoryMegabytes: 1_000, accelerators: 0 };
  return {
    taskId: 'task',
    declared: size,
    estimated: size,
    measured: null,
    isUnsure: false,
    isBatch: true,
    lossCost: 1,
    ...overrides,
  };
}

describe('room on a VM', () => {
  it('never carries more than its capacity in any order of events', () => {
    fc.assert(
      fc.property(kinds, steps, ({ declared, factor }, plan) => {
        const vm = new SimulatedVm(declared, factor);
        for (const step of plan) {
          vm.take(step);
          const single = vm.tasks.length === 1;
          const use = vm.trueUse();
          // A single task that is larger than the VM is admitted only for as long as nobody knows.
          const bound = single ? { ...CAPACITY, memoryMegabytes: use.memoryMegabytes } : CAPACITY;
          assert.ok(isWithinRoom(use, bound), JSON.stringify({ use, step }));
        }
      }),
      { seed: SEED, numRuns: 500 },
    );
  });

  it('counts the larger of estimate and measurement', () => {
    const small = { processorMillicores: 100, memoryMegabytes: 9_000, accelerators: 0 };
    const load: RoomLoad = batchLoad({ measured: small });
    const expected = { processorMillicores: 1_000, memoryMegabytes: 9_000, accelerators: 0 };
    assert.deepEqual(countedSize(load), expected);
  });

  it('starts a task of unknown size without room for its worst case only when it is alone', () => {
    const declared = { processorMillicores: 8_000, memoryMegabytes: 1_000, accelerators: 0 };
    const unsure = batchLoad({ declared, estimated: declared, isUnsure: true });
    assert.equal(refusalForRoom(CAPACITY, [], unsure), null);
    assert.match(refusalForRoom(CAPACITY, [unsure], unsure) ?? '', /unknown size/u);
    assert.match(refusalForRoom(CAPACITY, [unsure], batchLoad({})) ?? '', /unknown size/u);
  });
});

describe('a VM over capacity', () => {
  const five = { processorMillicores: 10_000, memoryMegabytes: 1_000, accelerators: 0 };

  it('throttles the tasks of unknown size first, then the cheapest', () => {
    const throttles = planThrottles(CAPACITY, [
      batchLoad({ taskId: 'cheap', measured: five, lossCost: 1 }),
      batchLoad({ taskId: 'dear', measured: five, lossCost: 9 }),
      batchLoad({ taskId: 'unknown', isUnsure: true, lossCost: 99 }),
    ]);
    assert.equal(throttles.get('dear'), 1);
    assert.ok((throttles.get('unknown') ?? 1) < 0.1);
    const cut = 25_000 - 16_000 - 5_000 * 0.95;
    assert.ok(Math.abs((throttles.get('cheap') ?? 1) - (1 - cut / 10_000)) < 1e-9);
  });

  it('lets only as many leave as needed, cheapest first', () => {
    const large = { processorMillicores: 0, memoryMegabytes: 30_000, accelerators: 0 };
    const tasks = ['a', 'b', 'c', 'd'].map((taskId, index) =>
      batchLoad({ taskId, measured: large, lossCost: 10 - index }),
    );
    assert.deepEqual(planOverloadEvictions(CAPACITY, tasks, ['memoryMegabytes']), ['d', 'c']);
    assert.deepEqual(planOverloadEvictions(CAPACITY, tasks, ['processorMillicores']), []);
  });
});
