/**
 * Builds reports: ends and start results that the scheduler has not yet received, and periodically the full
 * list of runs. Reports between two full lists contain only changes, which keeps them small.
 */
import type { Clock, Instant } from '@figjunction/time';
import type { CrashedRun, ReportParameters, RunAnswer } from '@figjunction/types';
import { LIST_AGE_MAXIMUM_MS } from './vm-answers.js';
import type { VmSession } from './vm-session.js';

/** A list this long before it is due goes along with a report of changes. */
const LIST_ADVANCE_MS = 50;

/** Limits what is kept of a VM that crashes again and again while no scheduler accepts reports. */
const CRASHED_RUNS_MAXIMUM = 200;

export type ReportedChanges = Omit<ReportParameters, 'agentId' | 'address' | 'processId'>;

export interface ReportTarget {
  epoch: number;
  /** The open session; 0 for none. */
  session: number;
  /** The offered session that the report opens; 0 for none. */
  offeredSession: number;
}

export class ReportBuilder {
  private answers: RunAnswer[] = [];

  /** Runs under which the VM crashed, which no scheduler has received yet. */
  private crashed: CrashedRun[] = [];

  /** Sequence number of the last end that the scheduler has received from this builder. */
  private acknowledgedEnd = 0;

  /** Sequence number of the last report that was built; each report is built for one sending. */
  lastSequence = 0;

  /** When the scheduler expects the next full list. */
  listDueAt: Instant = 0;

  constructor(private readonly clock: Clock) {}

  addStartResult(result: RunAnswer): void {
    this.answers.push(result);
  }

  /** Tells the scheduler that the VM has crashed under these runs. */
  addCrashedRuns(runs: CrashedRun[]): void {
    this.crashed = [...this.crashed, ...runs].slice(-CRASHED_RUNS_MAXIMUM);
  }

  /** Sends all ends again, to a new scheduler or because a new VM incarnation restarts their numbering. */
  resendEnds(): void {
    this.acknowledgedEnd = 0;
  }

  /**
   * Builds the next report, which has the next sequence number. A report that neither belongs to a session nor
   * opens one only requests an offer, so it has no lists.
   */
  build(
    vmSession: VmSession | null,
    { epoch, session, offeredSession }: ReportTarget,
  ): ReportedChanges {
    this.lastSequence += 1;
    const now = this.clock.now();
    const common = {
      sequence: this.lastSequence,
      listAgeMs: vmSession?.answers.listAgeMs(now) ?? null,
      silentMs: vmSession?.answers.silentMs(now) ?? 0,
      epoch,
      session,
      offeredSession,
      vm: vmSession?.announcement ?? null,
      answers: [...this.answers],
      pressureAllowance: vmSession?.pressureAllowance ?? null,
    };
    const isOpening = offeredSession !== 0;
    const isListed = vmSession !== null && vmSession.listedEpoch === epoch;
    if (!isListed || (session === 0 && !isOpening)) {
      const nothing = { running: null, crashed: [], ended: [], vanished: [] };
      // Without a list, nothing is known about the ends.
      return { ...common, ...nothing, hasUnlistedEnds: true };
    }
    // Within a session, the scheduler would take the silence that an older list hides for lack of progress.
    const isRecent = now - vmSession.answers.listRequestedAt < LIST_AGE_MAXIMUM_MS;
    const isListDue = isOpening || (isRecent && now >= this.listDueAt - LIST_ADVANCE_MS);
    const { runs } = vmSession;
    const ended = runs.unacknowledged.filter(({ sequence }) => sequence > this.acknowledgedEnd);
    return {
      ...common,
      running: isListDue ? runs.toRunningTasks() : null,
      crashed: isOpening ? this.crashed : [],
      ended,
      hasUnlistedEnds: runs.hasUnlistedEnds,
      vanished: [...vmSession.vanished],
    };
  }

  /** Marks the contents of a report as received by the scheduler, which expects lists at this interval. */
  acknowledge(report: ReportedChanges, vmSession: VmSession | null, listIntervalMs: number): void {
    this.answers = this.answers.filter((answer) => !report.answers.includes(answer));
    this.crashed = this.crashed.filter((run) => !report.crashed.includes(run));
    if (report.running !== null) {
      this.listDueAt = this.clock.now() + listIntervalMs;
    }
    if (vmSession !== null) {
      const sent = new Set(report.vanished);
      vmSession.vanished = vmSession.vanished.filter((reference) => !sent.has(reference));
      this.acknowledgedEnd = Math.max(
        this.acknowledgedEnd,
        ...report.ended.map((end) => end.sequence),
      );
    }
  }
}
