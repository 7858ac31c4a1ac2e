/**
 * The tables of one cell, and the operations that change several of them consistently.
 */
import type { Instant } from '@figjunction/time';
import { JobState } from '@figjunction/types';
import type { AgentId, JobId, QueuePolicy, TaskId } from '@figjunction/types';
import { BatchClaims } from './batch-claims.js';
import { InterferenceModel } from './interference.js';
import { isFinished } from './job-table.js';
import { RunPhase, buildRunKey } from './records.js';
import { createVmHealth } from './vm-health.js';
import type {
  JobRecord,
  OccurrenceRecord,
  RunRecord,
  StepRecord,
  TaskRecord,
  VmRecord,
} from './records.js';

const MILLICORES_PER_CORE = 1_000;

export class CellState {
  readonly jobs = new Map<JobId, JobRecord>();

  /** The version of the store at which this scheduler last removed the row of a job. */
  readonly removedJobs = new Map<JobId, number>();

  readonly vms = new Map<AgentId, VmRecord>();

  readonly queues = new Map<string, QueuePolicy>();

  readonly interference = new InterferenceModel();

  readonly batchClaims = new BatchClaims();

  /** By queue: the mean work of its occurrences in core-milliseconds, and their number. */
  readonly meanWork = new Map<string, { mean: number; count: number }>();

  /** Occurrences that are due and not finished. */
  readonly active = new Set<OccurrenceRecord>();

  /** Occurrences with changes that are not stored. */
  readonly dirty = new Set<OccurrenceRecord>();

  /**
   * VMs of earlier schedulers that have not reported to this one, with the time at which their leases must
   * have expired. Such a VM may still run tasks of the occurrences whose stored rows list it.
   */
  readonly unreportedVms = new Map<AgentId, Instant>();

  /** Total pressures of VMs whose runs have not changed, with the revision of the model that they are based on. */
  private readonly totalPressures = new Map<VmRecord, { pressure: number; revision: number }>();

  /** Interval at which each runner is asked to list its runs. */
  listIntervalMs = 0;

  findTask(taskId: TaskId): TaskRecord | null {
    const [jobId = '', occurrence = '', step = '', index = ''] = taskId.split('.');
    return (
      this.jobs.get(jobId)?.occurrences.get(Number(occurrence))?.steps[Number(step)]?.tasks[
        Number(index)
      ] ?? null
    );
  }

  /** The current policy of the job's queue; for a removed queue, the policy the job was accepted with. */
  getPolicy({ policy }: JobRecord): QueuePolicy {
    return this.queues.get(policy.name) ?? policy;
  }

  /** Pressure of a filler task at full speed on serving tasks; 0 for other tasks. */
  estimatePressure({ specification }: StepRecord): number {
    const { fills, image, resources } = specification;
    const cores = resources.processorMillicores / MILLICORES_PER_CORE;
    return fills ? this.interference.getPressure(image) * cores : 0;
  }

  /** Total pressure of the filler tasks on a VM. Placement asks this for each task and VM. */
  estimateTotalPressure(vm: VmRecord): number {
    const { revision } = this.interference;
    const known = this.totalPressures.get(vm);
    if (known?.revision === revision) {
      return known.pressure;
    }
    let pressure = 0;
    for (const { task } of vm.runs.values()) {
      pressure += this.estimatePressure(task.step);
    }
    this.totalPressures.set(vm, { pressure, revision });
    return pressure;
  }

  addVm(id: AgentId, address: string): VmRecord {
    const vm: VmRecord = {
      id,
      address,
      processId: '',
      session: 0,
      announcement: null,
      runs: new Map(),
      trial: null,
      runOnTrial: null,
      used: { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 },
      fillMillicores: 0,
      servingCount: 0,
      servingMillicores: 0,
      pressureAllowance: null,
      reservations: new Map(),
      orphans: new Map(),
      listAwaitedUntil: null,
      lapsedRuns: [],
      leaseExpiresAt: 0,
      reportedAt: 0,
      isSilent: false,
      listedAt: 0,
      unlistedRuns: new Set(),
      lastEndSequence: 0,
      unsettledEnds: [],
      settledThrough: 0,
      health: createVmHealth(),
    };
    this.vms.set(id, vm);
    return vm;
  }

  addRun(options: {
    task: TaskRecord;
    vm: VmRecord;
    run: number;
    phase: RunPhase;
    now: Instant;
    ticket?: string | null;
    isOnTrial?: boolean;
  }): RunRecord {
    const { task, vm, run, phase, now, ticket = null, isOnTrial = false } = options;
    const record: RunRecord = {
      task,
      run,
      vm,
      phase,
      isSent: phase !== RunPhase.Ordered,
      isOnTrial,
      attempt: 0,
      sendAt: now,
      ticket,
      startCheckpoint: task.checkpoint,
      listedCheckpoint: '',
      percent: 0,
      observedAt: null,
      percentChangedAt: now,
      measurement: 0,
      placedAt: now,
      runningSince: now,
    };
    task.runs.push(record);
    task.hasRun = true;
    task.highestRunNumber = Math.max(task.highestRunNumber, run);
    task.step.waiting.delete(task);
    vm.runs.set(buildRunKey(task.id, run), record);
    vm.runOnTrial = isOnTrial ? record : vm.runOnTrial;
    addUsage(record, 1);
    this.totalPressures.delete(vm);
    const { occurrence } = task.step;
    occurrence.runCount += 1;
    occurrence.hasBegun ||= phase !== RunPhase.Ordered;
    return record;
  }

  /** Marks a due occurrence as active and adds its work to the mean of its queue. */
  activate(occurrence: OccurrenceRecord): void {
    this.active.add(occurrence);
    const queue = occurrence.job.policy.name;
    const { mean, count } = this.meanWork.get(queue) ?? { mean: 0, count: 0 };
    const next = mean + (occurrence.work - mean) / (count + 1);
    this.meanWork.set(queue, { mean: next, count: count + 1 });
  }

  /** Removes a run and releases its resources. An unfinished task without other runs waits again. */
  removeRun(record: RunRecord, now: Instant): void {
    const { task, vm } = record;
    if (!vm.runs.delete(buildRunKey(task.id, record.run))) {
      return;
    }
    addUsage(record, -1);
    this.totalPressures.delete(vm);
    task.step.occurrence.runCount -= 1;
    task.runs = task.runs.filter((other) => other !== record);
    const { step } = task;
    if (!task.done && task.runs.length === 0 && !isFinished(step.occurrence.state)) {
      step.waiting.add(task);
      task.waitingSince = now;
    }
  }

  /** Issues a stop order, or removes the run at once if its start order was never sent. */
  orderStop(record: RunRecord, now: Instant): void {
    if (!record.isSent) {
      this.removeRun(record, now);
    } else if (record.phase !== RunPhase.Stopping) {
      record.phase = RunPhase.Stopping;
      record.sendAt = now;
    }
  }

  markDirty(occurrence: OccurrenceRecord): void {
    occurrence.lastChange += 1;
    // The unreadable row may tell of done tasks that are not known here.
    if (!occurrence.isHeld || isFinished(occurrence.state)) {
      this.dirty.add(occurrence);
    }
  }

  /** Ends an occurrence and issues stop orders for its remaining runs. */
  finishOccurrence(occurrence: OccurrenceRecord, state: JobState, now: Instant): void {
    occurrence.state = state;
    this.active.delete(occurrence);
    this.markDirty(occurrence);
    for (const step of occurrence.steps) {
      step.waiting.clear();
      for (const task of step.tasks) {
        for (const run of task.runs) {
          this.orderStop(run, now);
        }
      }
    }
  }
}

/** Adds the resources of a run to its VM, or subtracts them. */
function addUsage({ task, vm }: RunRecord, sign: 1 | -1): void {
  const { resources, fills, latencyTargetMs } = task.step.specification;
  vm.used.memoryMegabytes += sign * resources.memoryMegabytes;
  vm.used.accelerators += sign * resources.accelerators;
  if (fills) {
    vm.fillMillicores += sign * resources.processorMillicores;
  } else {
    vm.used.processorMillicores += sign * resources.processorMillicores;
  }
  if (latencyTargetMs !== null) {
    vm.servingCount += sign;
    vm.servingMillicores += sign * resources.processorMillicores;
  }
}
