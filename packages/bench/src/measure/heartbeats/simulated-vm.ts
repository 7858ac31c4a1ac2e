/**
 * Stands for the state of one agent at the target size, 20 batch runs and 4 instances, and its changes: one
 * run ends and another starts every 10 s, measurements of all tasks move by up to 10 % each second, and
 * requests come and go in the slots.
 */
import { InstanceChangeFilter, UsageChangeFilter } from '@figjunction/agent';
import type { HeartbeatContent } from '@figjunction/agent';
import type { RandomSource } from '@figjunction/time';
import { AgentState } from '@figjunction/types';
import type { HeldTask, InstanceReport, TaskUsage } from '@figjunction/types';

const TASKS = 20;
const INSTANCES = 4;
const SLOTS = 8;
const CONNECTIONS = 64;
const MILLISECONDS_PER_SECOND = 1_000;
const SECONDS_BETWEEN_RUNS = 10;

/** Measurements move by at most this part to each side. */
const NOISE = 0.1;
const RUN_MILLICORES = 500;
const RUN_MEGABYTES = 512;
const INSTANCE_MILLICORES = 800;
const INSTANCE_MEGABYTES = 2_048;
const SLOWDOWN = 1.1;
const SLOWDOWN_NOISE = 0.03;

const CAPACITY = { processorMillicores: 16_000, memoryMegabytes: 61_440, accelerators: 0 };
const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'istanbul-1' };

export class SimulatedVm {
  private readonly steadyInstances = new InstanceChangeFilter();

  private readonly steadyUsage = new UsageChangeFilter();

  constructor(
    readonly agentId: string,
    private readonly index: number,
    private readonly random: RandomSource,
    /** False announces every measurement as it is. */
    private readonly steady: boolean,
  ) {}

  /** The state in a given second. */
  describe(second: number): HeartbeatContent {
    const now = second * MILLISECONDS_PER_SECOND;
    const tasks = this.tasks(second);
    const measured = this.measure(tasks);
    const instances = this.instances();
    const used = measured.reduce((sum, one) => sum + one.used.processorMillicores, 0);
    return {
      core: {
        agentId: this.agentId,
        incarnation: 1,
        state: AgentState.Serving,
        revision: 1,
        confirmed: false,
      },
      sections: {
        place: { address: 'http://127.0.0.1:1', location: LOCATION, capacity: CAPACITY },
        room: {
          free: { ...CAPACITY, processorMillicores: CAPACITY.processorMillicores - used },
          wantsWork: false,
        },
        tasks,
        instances: this.steady ? this.steadyInstances.select(instances, now) : instances,
        usage: this.steady ? this.steadyUsage.select(measured, CAPACITY, now) : measured,
      },
    };
  }

  /**
   * VMs exchange their runs in different seconds. The names are not those of batch runs, which the entry
   * would look up in the table and, finding no rows, order to be stopped.
   */
  private tasks(second: number): HeldTask[] {
    const ended = Math.floor((second + this.index) / SECONDS_BETWEEN_RUNS);
    return Array.from({ length: TASKS }, (_value, place) => ({
      taskId: `banquet-menus-${this.index}-t${ended + place}`,
      attempt: 1,
    }));
  }

  private measure(tasks: HeldTask[]): TaskUsage[] {
    const runs = tasks.map(({ taskId }) => ({
      taskId,
      kind: 'menu-reprint',
      used: this.use(RUN_MILLICORES, RUN_MEGABYTES),
      slowdown: null,
    }));
    const instances = Array.from({ length: INSTANCES }, (_value, place) => ({
      taskId: `instance-labels-${this.index}-${place}`,
      kind: 'labels',
      used: this.use(INSTANCE_MILLICORES, INSTANCE_MEGABYTES),
      slowdown: this.around(SLOWDOWN, SLOWDOWN_NOISE),
    }));
    return [...runs, ...instances];
  }

  private instances(): InstanceReport[] {
    return Array.from({ length: INSTANCES }, (_value, place) => {
      const slotsUsed = this.random.below(SLOTS + 1);
      return {
        taskId: `instance-labels-${this.index}-${place}`,
        service: 'labels',
        attempt: 1,
        slots: SLOTS,
        slotsUsed,
        connections: CONNECTIONS,
        connectionsUsed: slotsUsed,
        ready: false,
      };
    });
  }

  private use(millicores: number, megabytes: number): TaskUsage['used'] {
    return {
      processorMillicores: Math.round(this.around(millicores, NOISE)),
      memoryMegabytes: Math.round(this.around(megabytes, NOISE)),
      accelerators: 0,
    };
  }

  private around(value: number, noise: number): number {
    return Number((value * (1 + noise * (2 * this.random.fraction() - 1))).toFixed(3));
  }
}
