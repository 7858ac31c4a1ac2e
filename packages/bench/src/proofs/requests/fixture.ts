/**
 * A cluster with one service, and callers that remember what they were told about each request.
 */
import { createHash } from 'node:crypto';
import { HttpClient, HttpClientError } from '@figjunction/http';
import {
  ExecutionEvent,
  countReadyInstances,
  hashBody,
  startCluster,
  waitUntil,
} from '@figjunction/test-support';
import type { Cluster, ClusterOptions, TargetAnswer } from '@figjunction/test-support';
import { RequestOutcome } from '@figjunction/types';

const SERVICE = 'labels';
const CALLER_TOKEN = 'token-of-the-kitchen';
export const OPERATOR_TOKEN = 'token-of-the-operator';

const SIZE = { processorMillicores: 1_000, memoryMegabytes: 512 };
const CALLER_TIMEOUT_MS = 15_000;

/** What a caller was told: an outcome, or null when no answer came. */
export type Told = RequestOutcome | null;

export interface CallerRequest {
  /** Where to send it: the address of an entry or of a relay in front of one. */
  address: string;
  body: string;
  requestId?: string;
  idempotent?: boolean;
  timeoutMs?: number;
}

export interface RequestHistory {
  body: string;
  /** One for each time the request was sent. */
  told: Told[];
  codes: string[];
  answers: string[];
}

export async function startRequestCluster(options: ClusterOptions = {}): Promise<Cluster> {
  const cluster = await startCluster({ entries: 2, agents: 3, ...options });
  try {
    const { agents = 3 } = options;
    await cluster.apply(configuration(agents));
    cluster.operatorToken = OPERATOR_TOKEN;
    await waitUntil(() => everyTargetServes(cluster, agents), {
      what: 'every entry reaches the target of every agent',
    });
    return cluster;
  } catch (error) {
    await cluster.close();
    throw error;
  }
}

/** Callers of one proof. */
export class Callers {
  readonly histories = new Map<string, RequestHistory>();

  private readonly http = new HttpClient();

  private count = 0;

  /** A body that no other request has; `hints` steer the target. */
  uniqueBody(hints: Record<string, number> = {}): string {
    this.count += 1;
    return JSON.stringify({ number: this.count, ...hints });
  }

  async send(request: CallerRequest): Promise<Told> {
    const history = this.historyOf(request.body);
    const { told, code, answer } = await this.exchange(request);
    history.told.push(told);
    history.codes.push(code);
    if (told === RequestOutcome.Completed) {
      history.answers.push(answer);
    }
    return told;
  }

  /** Requests by what callers were told of them, for failure messages. */
  summary(): string {
    const counts = new Map<string, number>();
    for (const { told, codes } of this.histories.values()) {
      told.forEach((outcome, index) => {
        const name = `${outcome ?? 'no answer'} ${codes[index] ?? ''}`.trim();
        counts.set(name, (counts.get(name) ?? 0) + 1);
      });
    }
    return [...counts].map(([name, count]) => `${name}: ${count}`).join(', ');
  }

  countTold(outcome: Told): number {
    const all = [...this.histories.values()].flatMap(({ told }) => told);
    return all.filter((one) => one === outcome).length;
  }

  close(): void {
    this.http.close();
  }

  private async exchange(
    request: CallerRequest,
  ): Promise<{ told: Told; code: string; answer: string }> {
    const { address, body, requestId, idempotent = false, timeoutMs = 4_000 } = request;
    try {
      const answer = await this.http.request(`${address}/v1/services/${SERVICE}/requests`, {
        method: 'POST',
        headers: {
          authorization: `Bearer ${CALLER_TOKEN}`,
          'content-type': 'application/json',
          'figjunction-idempotent': String(idempotent),
          'figjunction-timeout-ms': String(timeoutMs),
          ...(requestId === undefined ? {} : { 'figjunction-request-id': requestId }),
        },
        body,
        timeoutMs: CALLER_TIMEOUT_MS,
      });
      const told = (answer.headers['figjunction-outcome'] ?? null) as Told;
      const text = answer.body.toString('utf8');
      return { told, code: codeIn(told, text), answer: text };
    } catch (error) {
      if (error instanceof HttpClientError) {
        return { told: null, code: '', answer: '' };
      }
      throw error;
    }
  }

  private historyOf(body: string): RequestHistory {
    let history = this.histories.get(body);
    if (history === undefined) {
      history = { body, told: [], codes: [], answers: [] };
      this.histories.set(body, history);
    }
    return history;
  }
}

/** How often each body began to execute, from the workers' own records. */
export async function readExecutions(cluster: Cluster): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const { event, requestKey } of await cluster.readExecutionLog()) {
    if (event === ExecutionEvent.RequestBegin && requestKey !== undefined) {
      counts.set(requestKey, (counts.get(requestKey) ?? 0) + 1);
    }
  }
  return counts;
}

export function executionsOf(executions: Map<string, number>, body: string): number {
  return executions.get(hashBody(body)) ?? 0;
}

export function parseAnswer(text: string): TargetAnswer {
  return JSON.parse(text) as TargetAnswer;
}

/** Runs workers that repeat a step until the time is over or the limit is reached. */
export async function repeatFor(
  workers: number,
  durationMs: number,
  step: (worker: number) => Promise<void>,
): Promise<void> {
  const end = performance.now() + durationMs;
  const work = async (worker: number): Promise<void> => {
    while (performance.now() < end) {
      await step(worker);
    }
  };
  await Promise.all(Array.from({ length: workers }, (_one, worker) => work(worker)));
}

function codeIn(told: Told, text: string): string {
  if (told === RequestOutcome.Completed || text === '') {
    return '';
  }
  return (JSON.parse(text) as { code?: string }).code ?? '';
}

async function everyTargetServes(cluster: Cluster, agents: number): Promise<boolean> {
  const statuses = await Promise.all(
    cluster.entries.map((_entry, index) => cluster.entryClient(index).readStatus(OPERATOR_TOKEN)),
  );
  return statuses.every((status) => countReadyInstances(status) >= agents);
}

function configuration(instances: number): unknown {
  const sha256 = (token: string): string => createHash('sha256').update(token).digest('hex');
  return {
    urgencyClasses: [
      { name: 'interactive', rank: 0, guaranteedShare: 0.6 },
      { name: 'overnight', rank: 1, guaranteedShare: 0.2 },
    ],
    services: [{ name: SERVICE, urgency: 'interactive', instances, size: SIZE }],
    teams: [
      {
        name: 'kitchen',
        urgencies: ['interactive', 'overnight'],
        requestsPerSecond: 100_000,
        tokens: [{ sha256: sha256(CALLER_TOKEN) }],
      },
    ],
    operators: [{ name: 'operator', tokens: [{ sha256: sha256(OPERATOR_TOKEN) }] }],
  };
}
