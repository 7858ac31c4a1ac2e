/**
 * Test fixture: builds cell states with VMs that have reported and jobs that are active.
 */
import type { Instant } from '@figjunction/time';
import { VmState } from '@figjunction/types';
import type {
  JobSpecification,
  QueuePolicy,
  ReportParameters,
  StepSpecification,
  VmAnnouncement,
} from '@figjunction/types';
import { CellState } from './cell-state.js';
import { createJob, createOccurrence } from './job-table.js';
import { updateReadySteps } from './progress.js';
import { applyReport } from './reports.js';
import type { ReportOutcome } from './reports.js';
import type { JobRecord, VmRecord } from './records.js';

export const POLICY: QueuePolicy = {
  name: 'labels',
  host: 'labels.example',
  pathPrefix: '/labels/',
  service: 'printing',
  priority: 1,
  attemptsMaximum: 2,
  slackFactor: 2,
  objectiveMs: 500,
  advice: null,
};

/** A queue that is less urgent than that of `POLICY`. */
export const LESS_URGENT_POLICY: QueuePolicy = { ...POLICY, name: 'menus', priority: 2 };

export function createStep(changes: Partial<StepSpecification> = {}): StepSpecification {
  return {
    taskCount: 1,
    resources: { processorMillicores: 1_000, memoryMegabytes: 100, accelerators: 0 },
    estimateMs: 1_000,
    after: [],
    checkpoints: false,
    gang: false,
    sameRack: false,
    requiredLabel: null,
    preferredRack: null,
    tasksPerVmMaximum: null,
    duplicatesAllowed: false,
    longRunning: false,
    image: null,
    latencyTargetMs: null,
    fills: false,
    unavailableMaximum: null,
    ...changes,
  };
}

export interface JobOverrides {
  id?: string;
  steps: StepSpecification[];
  /** VMs that the stored row lists as runners of the job. */
  storedVms?: string[];
  policy?: QueuePolicy;
  /** Run numbers start above this one. */
  runNumberBase?: number;
  /** When the occurrence is submitted and due; 0 by default. */
  dueAt?: Instant;
}

/** Adds a job with one active occurrence. */
export function addJob(state: CellState, options: JobOverrides): JobRecord {
  const { id = '00000000000000aa', steps, storedVms = [], policy = POLICY } = options;
  const { runNumberBase = 0, dueAt = 0 } = options;
  const specification: JobSpecification = {
    payload: 'print',
    steps,
    occurrences: 0,
    firstDueWallMs: 0,
    intervalMs: 0,
  };
  const job = createJob({ id, policy, specification, submittedAt: dueAt });
  state.jobs.set(id, job);
  const occurrence = createOccurrence(job, 0, dueAt, runNumberBase);
  occurrence.storedVms = new Set(storedVms);
  state.activate(occurrence);
  updateReadySteps(occurrence, dueAt);
  return job;
}

export function createAnnouncement(changes: Partial<VmAnnouncement> = {}): VmAnnouncement {
  return {
    instanceId: 'instance-1',
    bornWallMs: 1_000,
    service: 'printing',
    dataCentre: 'istanbul',
    state: VmState.Ready,
    capacity: { processorMillicores: 4_000, memoryMegabytes: 1_000, accelerators: 0 },
    labels: ['a', 'r1'],
    rack: 'r1',
    remainingMs: null,
    ...changes,
  };
}

function createReport(changes: Partial<ReportParameters> = {}): ReportParameters {
  return {
    agentId: 'vm-1',
    address: 'http://127.0.0.1:1',
    processId: 'process-1',
    sequence: 1,
    listAgeMs: 0,
    silentMs: 0,
    epoch: 1,
    session: 0,
    offeredSession: 0,
    vm: createAnnouncement(),
    running: [],
    crashed: [],
    ended: [],
    hasUnlistedEnds: false,
    answers: [],
    pressureAllowance: null,
    vanished: [],
    ...changes,
  };
}

/** Adds a VM whose runner has session 1 and a lease that never expires. */
export function addVm(
  state: CellState,
  id = 'vm-1',
  changes: Partial<VmAnnouncement> = {},
): VmRecord {
  const vm = state.addVm(id, 'http://127.0.0.1:1');
  const announcement = createAnnouncement({ instanceId: `instance-of-${id}`, ...changes });
  sendReport(state, vm, { agentId: id, vm: announcement });
  vm.leaseExpiresAt = Number.POSITIVE_INFINITY;
  return vm;
}

/** Applies a report and returns whether it was accepted. One of no current session may open the next session. */
export function sendReport(
  state: CellState,
  vm: VmRecord,
  changes: Partial<ReportParameters>,
  now = 0,
): boolean {
  return sendReportForOutcome(state, vm, changes, now).accepted;
}

/** Like `sendReport`, but returns all that came of the report. */
export function sendReportForOutcome(
  state: CellState,
  vm: VmRecord,
  changes: Partial<ReportParameters>,
  now = 0,
): ReportOutcome {
  const report = createReport({ agentId: vm.id, vm: vm.announcement, ...changes });
  const isCurrent =
    vm.session !== 0 && report.session === vm.session && report.processId === vm.processId;
  const openedSession = isCurrent ? null : vm.session + 1;
  return applyReport({ state, vm, report, now, openedSession });
}

export function createState(): CellState {
  return new CellState();
}
