/**
 * Samples the revision that every process has in force and keeps those that went back.
 */
import { HttpClient } from '@figjunction/http';
import { bearerHeader } from '@figjunction/rpc';
import { TEST_SHARED_TOKEN, waitUntil } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { sleep } from '@figjunction/time';

const SAMPLE_INTERVAL_MS = 50;
const ANSWER_TIMEOUT_MS = 1_000;

export interface ProcessRevision {
  name: string;
  revision: number;
  confirmed: boolean;
}

interface StatusPage {
  entries: { entryId: string; revision: number | null; confirmed: boolean }[];
  agents: { agentId: string; incarnation: number; revision: number; confirmed: boolean }[];
}

export class RevisionWatch {
  /** One line for each time a process went back. */
  readonly reverts: string[] = [];

  private readonly http = new HttpClient();

  /** By observing entry and process: heartbeats of one agent reach two entries at different times. */
  private readonly highest = new Map<string, number>();

  private stopped = false;

  private readonly done: Promise<void>;

  constructor(private readonly cluster: Cluster) {
    this.done = this.sampleUntilStopped();
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await this.done;
    this.http.close();
  }

  /** What the entry and the agents that it knows have in force; an entry that is down gives nothing. */
  async read(entryIndex: number): Promise<ProcessRevision[]> {
    const entry = this.cluster.entries[entryIndex];
    if (entry === undefined || !entry.isRunning) {
      return [];
    }
    const page = await this.http.json<StatusPage>(`${entry.address}/v1/status`, {
      headers: { authorization: bearerHeader(TEST_SHARED_TOKEN) },
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    const entries = page.entries.flatMap(({ entryId, revision, confirmed }) =>
      revision === null ? [] : [{ name: entryId, revision, confirmed }],
    );
    const agents = page.agents.map(({ agentId, revision, confirmed }) => ({
      name: agentId,
      revision,
      confirmed,
    }));
    return [...entries, ...agents];
  }

  async waitForRevision(revision: number, processes: number, timeoutMs: number): Promise<void> {
    await waitUntil(
      async () => {
        const known = await this.read(0);
        const reached = known.filter((one) => one.revision >= revision && one.confirmed);
        return reached.length >= processes && reached.length === known.length;
      },
      { what: `${processes} processes confirm revision ${revision}`, timeoutMs },
    );
  }

  /** A process that was stopped starts from nothing, which is no revert. */
  forget(name: string): void {
    for (const observer of this.cluster.entries.keys()) {
      this.highest.delete(keyOf(observer, name));
    }
  }

  private async sampleUntilStopped(): Promise<void> {
    while (!this.stopped) {
      for (const index of this.cluster.entries.keys()) {
        const sample = await this.read(index).catch(() => []);
        sample.forEach((one) => this.compare(index, one));
      }
      await sleep(SAMPLE_INTERVAL_MS);
    }
  }

  private compare(observer: number, { name, revision }: ProcessRevision): void {
    const key = keyOf(observer, name);
    const highest = this.highest.get(key) ?? 0;
    if (revision < highest) {
      this.reverts.push(`${name} went from revision ${highest} back to ${revision}`);
    }
    this.highest.set(key, Math.max(highest, revision));
  }
}

function keyOf(observer: number, name: string): string {
  return `${observer} ${name}`;
}
