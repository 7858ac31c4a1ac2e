/**
 * Builders of tasks, VMs and teams with defaults for the placement tests. Contains no tests.
 */
import { RandomSource } from '@figjunction/time';
import { TaskType } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import { planPlacements } from './placement-plan.js';
import type {
  PlacementInputs,
  PlacementTask,
  PlacementTeam,
  PlacementVm,
} from './placement-types.js';

export function size(processorMillicores: number, memoryMegabytes = 1): Resources {
  return { processorMillicores, memoryMegabytes, accelerators: 0 };
}

export const ANYWHERE = { dataCentres: [], racks: [], vms: [] };

export function task(key: string, overrides: Partial<PlacementTask> = {}): PlacementTask {
  return {
    key,
    type: TaskType.Batch,
    team: 'kitchen',
    kind: 'labels',
    urgencyRank: 1,
    size: overrides.size ?? size(1_000),
    worstCaseSize: overrides.size ?? size(1_000),
    allowed: ANYWHERE,
    failedOn: [],
    submissionOrder: 0,
    instancesPerVm: null,
    onlyVm: null,
    ...overrides,
  };
}

export function vm(agentId: string, overrides: Partial<PlacementVm> = {}): PlacementVm {
  return {
    agentId,
    location: { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' },
    capacity: size(4_000, 1_000),
    free: size(4_000, 1_000),
    taskCountsByKind: new Map(),
    hasServiceInstances: false,
    startsAllowed: Number.POSITIVE_INFINITY,
    limitReason: null,
    startsAllowedByKind: new Map(),
    ...overrides,
  };
}

export function team(name = 'kitchen', overrides: Partial<PlacementTeam> = {}): PlacementTeam {
  return {
    name,
    weight: 1,
    runningTasks: 0,
    runningTasksMaximum: 1_000,
    processorMillicores: 0,
    processorMillicoresMaximum: 1_000_000,
    ...overrides,
  };
}

export function plan(overrides: Partial<PlacementInputs>) {
  return planPlacements({
    tasks: [],
    vms: [vm('vm-1')],
    teams: [team()],
    weights: { tailLatency: 1, throughput: 1, evictions: 1 },
    random: new RandomSource(1),
    ...overrides,
  });
}
