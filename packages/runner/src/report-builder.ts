/**
 * What the next report has to tell: ends and answers that the scheduler has not received, and from time to
 * time the list of all runs. Reports between two lists only tell changes, which keeps them small.
 */
import type { Clock, Instant } from '@figjunction/time';
import type { ReportParameters, RunAnswer } from '@figjunction/types';
import type { VmSession } from './vm-session.js';

/** A list that is older than this goes with the next report. */
const LIST_AGE_MS = 450;

const NO_SESSION = 0;

export type ReportedChanges = Omit<ReportParameters, 'agentId' | 'address' | 'processId'>;

export class ReportContents {
  private answers: RunAnswer[] = [];

  /** The last end that the scheduler has received in this session. */
  private receivedEnd = 0;

  private listDueAt: Instant = 0;

  constructor(private readonly clock: Clock) {}

  addAnswer(answer: RunAnswer): void {
    this.answers.push(answer);
  }

  /** All ends are told again: to another scheduler, or because a new life of the VM counts them anew. */
  startAnew(): void {
    this.receivedEnd = 0;
  }

  describe(vmSession: VmSession | null, epoch: number, session: number): ReportedChanges {
    const common = {
      session,
      vm: vmSession?.announcement ?? null,
      answers: this.answers,
      pressureAllowance: vmSession?.pressureAllowance ?? null,
    };
    const isListed =
      vmSession !== null && vmSession.listedEpoch === epoch && !vmSession.lease.isExpired;
    if (!isListed) {
      return { ...common, running: null, ended: [], vanished: [] };
    }
    const isListDue = session === NO_SESSION || this.clock.now() >= this.listDueAt;
    const { runs, vanished } = vmSession;
    const ended = runs.unsettled.filter(({ sequence }) => sequence > this.receivedEnd);
    return { ...common, running: isListDue ? runs.list() : null, ended, vanished };
  }

  /** The scheduler has received the report. */
  acknowledge(report: ReportedChanges, vmSession: VmSession | null): void {
    this.answers = this.answers.filter((answer) => !report.answers.includes(answer));
    if (report.running !== null) {
      this.listDueAt = this.clock.now() + LIST_AGE_MS;
    }
    if (vmSession !== null) {
      const sent = new Set(report.vanished);
      vmSession.vanished = vmSession.vanished.filter((reference) => !sent.has(reference));
      this.receivedEnd = Math.max(this.receivedEnd, ...report.ended.map((end) => end.sequence));
    }
  }
}
