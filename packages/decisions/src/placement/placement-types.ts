/**
 * Tables over which placement runs. All of them are hints about the fleet: the agent of a VM decides
 * whether a task is admitted, and the row decides who runs it.
 */
import type { RandomSource } from '@figjunction/time';
import type {
  AgentId,
  DecisionInput,
  KindName,
  Location,
  RejectedAlternative,
  Resources,
  TaskType,
  TeamName,
} from '@figjunction/types';

/** Which VMs a kind or service may use; an empty list allows all. */
export interface AllowedVmNames {
  dataCentres: string[];
  racks: string[];
  vms: string[];
}

export interface PlacementTask {
  key: string;
  type: TaskType;
  team: TeamName;
  kind: KindName;
  /** 0 is the most urgent. */
  urgencyRank: number;
  /** Larger of declared, learnt and measured size. */
  size: Resources;
  /** What the task may turn out to use; larger than the size while its kind is not known. */
  worstCaseSize: Resources;
  /** Whether enough tasks of the kind were measured to trust the size. */
  isSizeKnown?: boolean;
  allowed: AllowedVmNames;
  /** Agents on which the task failed before. */
  failedOn: readonly AgentId[];
  /** Position in the order of submission. */
  order: number;
  /** Instances of one service on one VM; null for batch tasks. */
  instancesPerVm: number | null;
  /** The VM that an approved proposal names; null leaves the choice to placement. */
  onlyVm: AgentId | null;
}

export interface PlacementVm {
  agentId: AgentId;
  location: Location;
  capacity: Resources;
  free: Resources;
  /** Tasks on the VM, counted by kind or service. */
  kinds: ReadonlyMap<KindName, number>;
  /** Whether the VM hosts an instance of a service. */
  hostsService: boolean;
  /** How many starts the VM may be given now; limited while it is suspected of failing tasks. */
  startsAllowed: number;
  /** Why `startsAllowed` is limited. */
  limitReason: string | null;
  /** Starts allowed now for kinds that failed on the VM; a kind not listed is not limited. */
  kindStarts: ReadonlyMap<KindName, number>;
}

export interface PlacementTeam {
  name: TeamName;
  /** Share of the capacity relative to other teams. */
  weight: number;
  runningTasks: number;
  runningTasksMaximum: number;
  processorMillicores: number;
  processorMillicoresMaximum: number;
}

/** Relative importance of what a choice may cost. */
export interface PlacementWeights {
  tailLatency: number;
  throughput: number;
  evictions: number;
}

/** Expected slowdown minus one that a task causes or suffers on a VM; 0 means no effect. */
export type InterferenceEstimate = (task: PlacementTask, vm: PlacementVm) => number;

export interface PlacementInputs {
  tasks: PlacementTask[];
  vms: PlacementVm[];
  teams: PlacementTeam[];
  weights: PlacementWeights;
  random: RandomSource;
  interference?: InterferenceEstimate;
  placementsMaximum?: number;
}

export interface Placement {
  task: PlacementTask;
  agentId: AgentId;
  inputs: DecisionInput[];
  rejected: RejectedAlternative[];
}

/** A task that stays pending, and why. */
export interface WaitingTask {
  key: string;
  reason: string;
}

export interface PlacementPlan {
  placements: Placement[];
  waiting: WaitingTask[];
}
