/**
 * Interactive requests against the label service, each checked for its own answer.
 */
import { HttpClient } from '@figjunction/http';
import { EntryClient, hashBody } from '@figjunction/test-support';
import type { Cluster, ServiceAnswer, TargetAnswer } from '@figjunction/test-support';
import { RandomSource } from '@figjunction/time';
import { RequestOutcome } from '@figjunction/types';
import { RequestEnding, generateLoad } from './load-generator.js';
import type { LoadResult } from './load-generator.js';
import type { Figures } from './scenario.js';
import { SERVICE, tokenOf } from './workload.js';

export interface ServiceLoadOptions {
  cluster: Cluster;
  /** Makes the bodies of this load differ from those of others. */
  label: string;
  team: string;
  /** Sends for each of these in turn instead of for the one team. */
  teams?: string[];
  ratePerSecond: number;
  durationMs: number;
  seed: number;
  urgency?: string;
  idempotent?: boolean;
  timeoutMs?: number;
  /** Entries to use, by index; all by default. */
  entries?: number[];
}

const CALLER_TIMEOUT_MS = 10_000;
const CONNECTIONS_MAXIMUM = 1_024;
const FIRST_SERVER_ERROR_STATUS = 500;

export async function loadService(options: ServiceLoadOptions): Promise<LoadResult> {
  const { cluster, label, team, seed, urgency, timeoutMs, idempotent = true } = options;
  const teams = options.teams ?? [team];
  const entries = options.entries ?? cluster.entries.map((_entry, index) => index);
  const http = new HttpClient({ connectionsMaximum: CONNECTIONS_MAXIMUM });
  const clients = entries.map((index) => new EntryClient(cluster.entryClient(index).address, http));
  const send = async (index: number): Promise<RequestEnding> => {
    const body = JSON.stringify({ label, index });
    // Shifted by one each round, so that the requests of every team reach all entries.
    const shift = teams.length === 1 ? 0 : Math.floor(index / teams.length);
    const client = clients[(index + shift) % clients.length];
    if (client === undefined) {
      return RequestEnding.NotSent;
    }
    const answer = await client.request({
      service: SERVICE,
      body,
      token: tokenOf(teams[index % teams.length] ?? team),
      idempotent,
      urgency,
      timeoutMs,
      callerTimeoutMs: CALLER_TIMEOUT_MS,
    });
    return endingOf(answer, body);
  };
  try {
    const { ratePerSecond, durationMs } = options;
    return await generateLoad({
      ratePerSecond,
      durationMs,
      random: new RandomSource(seed),
      send,
    });
  } finally {
    http.close();
  }
}

function endingOf({ outcome, status, body: answer }: ServiceAnswer, body: string): RequestEnding {
  if (outcome === RequestOutcome.NotRun) {
    return RequestEnding.NotRun;
  }
  if (outcome !== RequestOutcome.Completed) {
    return RequestEnding.Unknown;
  }
  if (status >= FIRST_SERVER_ERROR_STATUS) {
    return RequestEnding.TargetFailed;
  }
  return isAnswerTo(answer, body) ? RequestEnding.Completed : RequestEnding.WrongAnswer;
}

function isAnswerTo(answer: Buffer, body: string): boolean {
  try {
    return (JSON.parse(answer.toString('utf8')) as TargetAnswer).bodyHash === hashBody(body);
  } catch {
    return false;
  }
}

/** Figures of a load under names that start with the prefix. */
export function loadFigures(prefix: string, result: LoadResult): Figures {
  const { latency, endings, offered } = result;
  return {
    ...latency.figures(prefix),
    [`${prefix}CompletedFraction`]:
      offered === 0 ? null : endings[RequestEnding.Completed] / offered,
    [`${prefix}NotRun`]: endings[RequestEnding.NotRun],
    [`${prefix}Unknown`]: endings[RequestEnding.Unknown] + endings[RequestEnding.NoAnswer],
    [`${prefix}TargetFailed`]: endings[RequestEnding.TargetFailed],
    [`${prefix}WrongAnswers`]: endings[RequestEnding.WrongAnswer],
    [`${prefix}NotSent`]: endings[RequestEnding.NotSent],
  };
}
