/**
 * Detects reports that arrive after a later report of the same runner process, or a second time.
 */
import type { AgentId, ReportParameters } from '@figjunction/types';

/** Reports of earlier processes of a runner may still be on their way; older ones than these are forgotten. */
const PROCESSES_PER_RUNNER_MAXIMUM = 4;

export class ReportSequences {
  /** The highest sequence number by process id, for each runner; the newest process is last. */
  private readonly highest = new Map<AgentId, Map<string, number>>();

  /**
   * Stores the sequence number of a report. Returns the highest one of its process so far if that is not lower,
   * which means that the report was overtaken or repeated; else null.
   */
  observe({
    agentId,
    processId,
    sequence,
  }: Pick<ReportParameters, 'agentId' | 'processId' | 'sequence'>): number | null {
    const processes = this.processesOf(agentId);
    const highest = processes.get(processId);
    if (highest !== undefined && sequence <= highest) {
      return highest;
    }
    processes.set(processId, sequence);
    const [oldest] = processes.keys();
    if (processes.size > PROCESSES_PER_RUNNER_MAXIMUM && oldest !== undefined) {
      processes.delete(oldest);
    }
    return null;
  }

  private processesOf(agentId: AgentId): Map<string, number> {
    const known = this.highest.get(agentId);
    if (known !== undefined) {
      return known;
    }
    const created = new Map<string, number>();
    this.highest.set(agentId, created);
    return created;
  }
}
