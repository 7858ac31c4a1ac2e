/**
 * Input and output tables of placement. The inputs may be stale: the agent of a VM makes the final admission
 * decision, and the stored row of a task determines which agent runs it.
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

/** Names of the locations and VMs that a kind or service may use; an empty list allows all. */
export interface VmConstraints {
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
  /** The maximum of declared, estimated and measured size. */
  size: Resources;
  /** Upper bound of the size; larger than `size` until enough tasks of the kind have been measured. */
  worstCaseSize: Resources;
  /** Whether enough tasks of the kind have been measured to trust the size. */
  isSizeKnown?: boolean;
  allowed: VmConstraints;
  /** Agents on which the task failed before, one entry per recent failure. */
  failedOn: readonly AgentId[];
  /** Sort key for the submission order; lower values are placed first. */
  submissionOrder: number;
  /** Maximum number of instances of the service on one VM; null for batch tasks. */
  instancesPerVm: number | null;
  /** The VM of an approved proposal, the only one allowed; null if placement chooses the VM. */
  onlyVm: AgentId | null;
}

export interface PlacementVm {
  agentId: AgentId;
  location: Location;
  capacity: Resources;
  free: Resources;
  /** Number of tasks on the VM by kind or service. */
  taskCountsByKind: ReadonlyMap<KindName, number>;
  /** Whether the VM runs at least one service instance. */
  hasServiceInstances: boolean;
  /** Number of tasks that may start on the VM now; limited after failures, for example, else infinite. */
  startsAllowed: number;
  /** Why `startsAllowed` is limited; null if it is not. */
  limitReason: string | null;
  /** Starts allowed now for each kind that failed on the VM or was refused; other kinds are not limited. */
  startsAllowedByKind: ReadonlyMap<KindName, number>;
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

/** Relative weights of the optimisation objectives. */
export interface PlacementWeights {
  tailLatency: number;
  throughput: number;
  evictions: number;
}

/** Returns the expected slowdown minus one that a task causes or suffers on a VM; 0 means no effect. */
export type InterferenceEstimator = (task: PlacementTask, vm: PlacementVm) => number;

export interface PlacementInputs {
  tasks: PlacementTask[];
  vms: PlacementVm[];
  teams: PlacementTeam[];
  weights: PlacementWeights;
  random: RandomSource;
  interference?: InterferenceEstimator;
  placementsMaximum?: number;
}

export interface Placement {
  task: PlacementTask;
  agentId: AgentId;
  inputs: DecisionInput[];
  rejected: RejectedAlternative[];
}

/** A task that stays pending, with the reason. */
export interface WaitingTask {
  key: string;
  reason: string;
}

export interface PlacementPlan {
  placements: Placement[];
  waiting: WaitingTask[];
}
