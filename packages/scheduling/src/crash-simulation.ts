/**
 * Test fixture: plays a cell in which some tasks crash the VMs that start them, without processes or a network.
 * The runners report as real ones do, and changed occurrences are stored at the end of each tick.
 */
import { RunEnding } from '@figjunction/types';
import type { JobId, JobState, ProgressRow, StepSpecification, TaskId } from '@figjunction/types';
import { addJob, addVm, createAnnouncement, createState, sendReport } from './cell-fixture.js';
import type { CellState } from './cell-state.js';
import { isFinished } from './job-table.js';
import { encodeProgress, restoreProgress } from './progress-row.js';
import { expireVmLeases } from './lease-expiry.js';
import { placeTasks } from './place.js';
import { SchedulerReplacement, VmLoss } from './crash-simulation-options.js';
import type {
  CrashSimulationOptions,
  SimulatedRun,
  SimulatedVm,
} from './crash-simulation-options.js';
import { RunPhase } from './records.js';
import type { OccurrenceRecord, RunRecord, VmRecord } from './records.js';

const TICK_MS = 25;
const DEFAULT_DOWN_MS = 3_250;
const LEASE_MS = 5_300;
const PERCENT = 100;
const RUN_NUMBERS_PER_SCHEDULER = 1_000;

export class CrashSimulation {
  state: CellState = createState();

  /** Starts of each task that a VM has carried out. */
  readonly starts = new Map<TaskId, number>();

  private readonly vms: SimulatedVm[];

  private readonly jobs = new Map<JobId, StepSpecification[]>();

  private readonly rows = new Map<JobId, ProgressRow>();

  private now = 0;

  private schedulerCount = 1;

  constructor(private readonly options: CrashSimulationOptions) {
    this.vms = Array.from({ length: options.vmCount }, (_, index) => ({
      id: `vm-${index + 1}`,
      incarnation: 1,
      processId: 'process-1',
      running: new Map(),
      answers: [],
      ended: [],
      crashed: [],
      lastSequence: 0,
      downUntil: 0,
    }));
    this.vms.forEach((vm) => addVm(this.state, vm.id, this.announcementOf(vm)));
  }

  addJob(id: JobId, steps: StepSpecification[]): void {
    this.jobs.set(id, steps);
    addJob(this.state, { id, steps });
  }

  jobState(id: JobId): JobState | null {
    return this.state.jobs.get(id)?.occurrences.get(0)?.state ?? null;
  }

  startCount(taskId: TaskId): number {
    return this.starts.get(taskId) ?? 0;
  }

  runFor(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += TICK_MS;
      expireVmLeases(this.state, this.now);
      this.vms.forEach((vm) => this.report(vm));
      this.store();
      if (this.vms.some((vm) => this.isReplacedAfter(vm))) {
        this.replaceScheduler();
      }
      placeTasks(this.state, this.now);
      this.store();
      this.vms.filter((vm) => !this.isDown(vm)).forEach((vm) => this.work(vm));
      if (this.options.allCrashAt?.includes(this.now) === true) {
        this.vms.forEach((vm) => this.takeDown(vm, this.state.vms.get(vm.id) as VmRecord));
      }
    }
  }

  private isDown({ downUntil }: SimulatedVm): boolean {
    return this.now < downUntil;
  }

  private returnsNow({ downUntil }: SimulatedVm): boolean {
    return downUntil > this.now - TICK_MS && downUntil <= this.now;
  }

  /** True if a new scheduler takes over at the present state of the VM. */
  private isReplacedAfter(vm: SimulatedVm): boolean {
    const { replacement, downMs = DEFAULT_DOWN_MS } = this.options;
    const crashedAt = vm.downUntil - downMs;
    return (
      (replacement === SchedulerReplacement.AfterReturn && this.returnsNow(vm)) ||
      (replacement === SchedulerReplacement.WhileDown && this.now === crashedAt + TICK_MS)
    );
  }

  private announcementOf({ id, incarnation }: SimulatedVm) {
    const name = `instance-of-${id}`;
    const instanceId = this.options.keepsInstanceId === true ? name : `${name}-${incarnation}`;
    return createAnnouncement({ instanceId, bornWallMs: incarnation });
  }

  private report(vm: SimulatedVm): void {
    const record = this.state.vms.get(vm.id) as VmRecord;
    const isNewSession = record.processId !== vm.processId || this.returnsNow(vm);
    const base = { processId: vm.processId, session: isNewSession ? 0 : record.session };
    if (!this.isDown(vm)) {
      const { answers, ended } = vm;
      const crashed = base.session === 0 ? vm.crashed : [];
      vm.running.forEach((run) => this.updateProgress(run));
      const running = [...vm.running.values()];
      const announcement = this.announcementOf(vm);
      const report = { ...base, vm: announcement, running, crashed, answers, ended };
      if (sendReport(this.state, record, report, this.now)) {
        record.leaseExpiresAt = this.now + LEASE_MS;
        vm.answers = [];
        vm.ended = [];
        vm.crashed = [];
      }
    } else if (this.options.loss === VmLoss.Departure) {
      sendReport(this.state, record, { ...base, session: 0, vm: null, running: null }, this.now);
    } else if (this.options.loss !== VmLoss.PowerLoss) {
      sendReport(this.state, record, { ...base, running: null }, this.now);
    }
  }

  /** Carries out the orders, ends the runs that are done, and takes the VM down after the start of a deadly task. */
  private work(vm: SimulatedVm): void {
    const record = this.state.vms.get(vm.id) as VmRecord;
    for (const [key, run] of vm.running) {
      const isStopped =
        record.runs.get(key)?.phase === RunPhase.Stopping || record.orphans.has(key);
      if (isStopped || run.endsAt <= this.now) {
        vm.running.delete(key);
        vm.lastSequence += 1;
        const ending = isStopped ? RunEnding.Stopped : RunEnding.Done;
        const end = { sequence: vm.lastSequence, ending, checkpoint: '' };
        vm.ended.push({ ...end, taskId: run.taskId, run: run.run });
      }
    }
    const ordered = [...record.runs].filter(
      ([key, { phase }]) => phase === RunPhase.Ordered && !vm.running.has(key),
    );
    ordered.forEach(([key, run]) => this.startRun(vm, key, run));
    if ([...vm.running.values()].some(({ crashesAt }) => crashesAt <= this.now)) {
      this.takeDown(vm, record);
    }
  }

  private updateProgress(run: SimulatedRun): void {
    if (this.options.showsProgress === true) {
      const share = (this.now - run.startedAt) / (run.endsAt - run.startedAt);
      run.percent = Math.min(PERCENT, Math.floor(share * PERCENT));
    }
  }

  private startRun(vm: SimulatedVm, key: string, { task, run, attempt }: RunRecord): void {
    const reference = { taskId: task.id, run };
    const endsAt = this.now + task.step.specification.estimateMs;
    const start = this.startCount(task.id) + 1;
    this.starts.set(task.id, start);
    const crashesAt = this.isDeadly(task.id)
      ? this.now + (this.options.crashAfterMs?.(task.id, start) ?? 0)
      : Number.POSITIVE_INFINITY;
    const times = { startedAt: this.now, endsAt, crashesAt };
    vm.running.set(key, { ...reference, checkpoint: '', percent: 0, reading: 0, ...times });
    vm.answers.push({ ...reference, attempt, refusal: null });
  }

  private isDeadly(taskId: TaskId): boolean {
    return this.options.isDeadly(taskId, this.startCount(taskId));
  }

  private takeDown(vm: SimulatedVm, record: VmRecord): void {
    if (this.options.loss !== VmLoss.PowerLoss) {
      // The VM answers the start calls before it crashes.
      const { answers } = vm;
      const base = { processId: vm.processId, session: record.session };
      sendReport(this.state, record, { ...base, running: null, answers }, this.now);
    }
    if (this.options.loss === VmLoss.Crash) {
      vm.crashed.push(...vm.running.values());
    }
    vm.running.clear();
    vm.answers = [];
    vm.ended = [];
    vm.lastSequence = 0;
    vm.incarnation += 1;
    vm.downUntil = this.now + (this.options.downMs ?? DEFAULT_DOWN_MS);
    if (this.options.loss === VmLoss.PowerLoss) {
      vm.processId = `process-${vm.incarnation}`;
    }
  }

  /** Stores the changed occurrences, as the writer of the scheduler does. */
  private store(): void {
    for (const occurrence of this.state.dirty) {
      const row = encodeProgress(occurrence, this.state.unreportedVms);
      this.rows.set(occurrence.job.id, JSON.parse(JSON.stringify(row)) as ProgressRow);
      occurrence.storedVms = new Set(row.runners);
      occurrence.storedState = row.state;
      occurrence.storedChange = occurrence.lastChange;
    }
    this.state.dirty.clear();
  }

  private replaceScheduler(): void {
    this.state = createState();
    const runNumberBase = this.schedulerCount * RUN_NUMBERS_PER_SCHEDULER;
    this.schedulerCount += 1;
    for (const [id, steps] of this.jobs) {
      const job = addJob(this.state, { id, steps, runNumberBase });
      const occurrence = job.occurrences.get(0) as OccurrenceRecord;
      const row = this.rows.get(id);
      if (row !== undefined) {
        restoreProgress(occurrence, row);
      }
      if (isFinished(occurrence.state)) {
        this.state.active.delete(occurrence);
      }
    }
    for (const vm of this.vms) {
      const record = this.state.addVm(vm.id, 'http://127.0.0.1:1');
      record.leaseExpiresAt = Number.POSITIVE_INFINITY;
      this.state.unreportedVms.set(vm.id, this.now + LEASE_MS);
      this.report(vm);
    }
  }
}
