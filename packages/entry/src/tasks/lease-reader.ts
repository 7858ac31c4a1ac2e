/**
 * Reads lease rows for claims. Requests that arrive while a read is in progress share the next one.
 */
import type { TableService } from '@figjunction/store';
import { toError } from '@figjunction/errors';
import { leaseKey } from '@figjunction/types';
import type { AgentId, LeaseRow, VersionedRow } from '@figjunction/types';

type Lease = VersionedRow<LeaseRow> | null;

interface Waiter {
  agentId: AgentId;
  resolve: (lease: Lease) => void;
  reject: (error: Error) => void;
}

export class LeaseReader {
  private waiters: Waiter[] = [];

  private reading = false;

  constructor(private readonly table: TableService) {}

  read(agentId: AgentId): Promise<Lease> {
    return new Promise((resolve, reject) => {
      this.waiters.push({ agentId, resolve, reject });
      if (!this.reading) {
        this.reading = true;
        // Callers of the same turn of the event loop share the read.
        setImmediate(() => {
          this.readAll().catch(() => {});
        });
      }
    });
  }

  private async readAll(): Promise<void> {
    while (this.waiters.length > 0) {
      const { waiters } = this;
      this.waiters = [];
      await this.readFor(waiters);
    }
    this.reading = false;
  }

  private async readFor(waiters: Waiter[]): Promise<void> {
    const agentIds = [...new Set(waiters.map(({ agentId }) => agentId))];
    try {
      const rows = await this.table.read<LeaseRow>(agentIds.map(leaseKey));
      const byAgent = new Map(agentIds.map((agentId, index) => [agentId, rows[index] ?? null]));
      waiters.forEach(({ agentId, resolve }) => resolve(byAgent.get(agentId) ?? null));
    } catch (error) {
      waiters.forEach(({ reject }) => reject(toError(error)));
    }
  }
}
