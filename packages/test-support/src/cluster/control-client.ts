/**
 * Switches and records of the fake processes, over HTTP.
 */
import { HttpClient } from '@figjunction/http';
import type { PlatformFaults, PlatformStats } from '../platform/platform-faults.js';
import type { ExecutionLogPage, ExecutionRecord } from '../worker/execution-log.js';
import type { WorkerFaults } from '../worker/worker-faults.js';

export class PlatformControl {
  constructor(
    private readonly address: string,
    private readonly http: HttpClient,
  ) {}

  setFaults(faults: Partial<PlatformFaults>): Promise<PlatformFaults> {
    return this.http.json(`${this.address}/control/faults`, { method: 'POST', body: faults });
  }

  readStats(): Promise<PlatformStats> {
    return this.http.json(`${this.address}/control/stats`);
  }

  resetStats(): Promise<PlatformStats> {
    return this.http.json(`${this.address}/control/stats/reset`, { method: 'POST', body: {} });
  }
}

export class WorkerControl {
  constructor(
    private readonly address: string,
    private readonly http: HttpClient,
  ) {}

  setFaults(faults: Partial<WorkerFaults>): Promise<WorkerFaults> {
    return this.http.json(`${this.address}/control/faults`, { method: 'POST', body: faults });
  }

  /** The whole record of what executed. */
  async readLog(): Promise<ExecutionRecord[]> {
    const records: ExecutionRecord[] = [];
    let after = 0;
    for (;;) {
      const page = await this.http.json<ExecutionLogPage>(
        `${this.address}/control/log?after=${after}`,
      );
      records.push(...page.records);
      if (page.records.length === 0) {
        return records;
      }
      after = page.next;
    }
  }
}
