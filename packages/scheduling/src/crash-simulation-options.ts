/**
 * Test fixture: options and VMs of the simulation of tasks that crash their VMs.
 */
import type { CrashedRun, EndedRun, RunAnswer, RunningTask, TaskId } from '@figjunction/types';

/** What becomes of a VM that starts a deadly task. */
export enum VmLoss {
  /** The VM crashes and returns as a new incarnation; its runner process lives on. */
  Crash = 'crash',
  /** The machine loses power, so the runner process restarts with the VM. */
  PowerLoss = 'power-loss',
  /** The VM deregisters and leaves, and a new one comes to the same runner. */
  Departure = 'departure',
}

/** When a new scheduler takes over. */
export enum SchedulerReplacement {
  /** Each time that the report of a new incarnation is stored. */
  AfterReturn = 'after-return',
  /** Each time that a VM has crashed, before it returns. */
  WhileDown = 'while-down',
}

export interface CrashSimulationOptions {
  vmCount: number;
  /** Whether this start, counted from 1, of the task takes its VM down. */
  isDeadly: (taskId: TaskId, start: number) => boolean;
  loss: VmLoss;
  /** Whether a new incarnation has the instance id of the one before. */
  keepsInstanceId?: boolean;
  /** How long a VM is down; the users' VMs are back 3.0 to 3.5 s after a crash. */
  downMs?: number;
  /** Time from this start, counted from 1, of a deadly task to the crash; the crash is immediate if left out. */
  crashAfterMs?: (taskId: TaskId, start: number) => number;
  /** Moments at which all VMs crash at once, for a cause outside the tasks. */
  allCrashAt?: readonly number[];
  /** Whether the lists show the progress of the runs; otherwise they show 0 percent. */
  showsProgress?: boolean;
  /** Undefined if the first scheduler stays. */
  replacement?: SchedulerReplacement;
}

export interface SimulatedRun extends RunningTask {
  startedAt: number;
  endsAt: number;
  crashesAt: number;
}

export interface SimulatedVm {
  id: string;
  incarnation: number;
  processId: string;
  running: Map<string, SimulatedRun>;
  answers: RunAnswer[];
  ended: EndedRun[];
  crashed: CrashedRun[];
  lastSequence: number;
  /** The VM is down until this time. */
  downUntil: number;
}
