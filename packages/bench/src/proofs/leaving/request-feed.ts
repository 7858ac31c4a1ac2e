/**
 * Steady requests through every entry in turn, each with a body of its own, so that the workers' record
 * tells when it was sent and through which entry.
 */
import { hashBody } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { SystemClock, sleep } from '@figjunction/time';
import type { Instant } from '@figjunction/time';
import { RequestOutcome } from '@figjunction/types';
import { SERVICE, tokenOf } from '../../measure/workload.js';

export interface SentRequest {
  entryIndex: number;
  sentAt: Instant;
  outcome: RequestOutcome | null;
}

const INTERVAL_MS = 15;
const CALLER_TIMEOUT_MS = 15_000;

export class RequestFeed {
  /** By the key under which workers record a request. */
  readonly sent = new Map<string, SentRequest>();

  private readonly clock = new SystemClock();

  private readonly open = new Set<Promise<void>>();

  private running = true;

  private readonly loop: Promise<void>;

  constructor(
    private readonly cluster: Cluster,
    private readonly team: string,
  ) {
    this.loop = this.run();
  }

  /** Settles when every request has its answer. */
  async stop(): Promise<void> {
    this.running = false;
    await this.loop;
    await Promise.all(this.open);
  }

  private async run(): Promise<void> {
    for (let index = 0; this.running; index += 1) {
      const exchange = this.send(index).finally(() => this.open.delete(exchange));
      this.open.add(exchange);
      await sleep(INTERVAL_MS);
    }
  }

  private async send(index: number): Promise<void> {
    const entryIndex = index % this.cluster.entries.length;
    const body = JSON.stringify({ label: index });
    const request: SentRequest = { entryIndex, sentAt: this.clock.now(), outcome: null };
    this.sent.set(hashBody(body), request);
    try {
      const answer = await this.cluster.entryClient(entryIndex).request({
        service: SERVICE,
        body,
        token: tokenOf(this.team),
        idempotent: true,
        callerTimeoutMs: CALLER_TIMEOUT_MS,
      });
      request.outcome = answer.outcome;
    } catch {
      request.outcome = RequestOutcome.Unknown;
    }
  }
}
