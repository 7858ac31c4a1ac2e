/**
 * One standing watch of a caller: passes whole lines on and goes on at another target, from the last
 * cursor, when a stream ends.
 */
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpClient, readLines } from '@figjunction/http';
import { bearerHeader } from '@figjunction/rpc';
import { inSpan, traceHeaders } from '@figjunction/telemetry';
import { sleep } from '@figjunction/time';
import {
  AGENT_ID_HEADER,
  OUTCOME_HEADER,
  REQUEST_ID_HEADER,
  RequestOutcome,
} from '@figjunction/types';
import type { RequestId, TaskId } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import type { Target } from './request-input.js';
import type { RegionLink } from './region-link.js';
import type { ChosenTarget, TargetSelector } from './target-selector.js';

export interface WatchOrder extends Target {
  requestId: RequestId;
  cursor: string;
  response: ServerResponse;
  /** Aborts when the caller goes away or the entry stops. */
  signal: AbortSignal;
}

/** A line of a stream; a field beside the cursor tells its end. */
interface WatchEvent {
  cursor?: string | number;
  end?: string;
}

const OPEN_TIMEOUT_MS = 5_000;
const RETRY_MS = 50;
const RETRY_MS_MAXIMUM = 1_000;

/** After this many tries in a row without a stream the caller is told to ask again. */
const FAILURES_MAXIMUM = 20;

/** The first answer to the caller waits for fewer tries. */
const FIRST_FAILURES_MAXIMUM = 3;

export class WatchStream {
  private cursor: string;

  constructor(
    private readonly context: EntryContext,
    private readonly http: HttpClient,
    private readonly selector: TargetSelector,
    private readonly link: RegionLink,
    private readonly order: WatchOrder,
  ) {
    this.cursor = order.cursor;
  }

  /** Runs until the caller goes away or the entry stops. False when no target took the watch. */
  async run(): Promise<boolean> {
    const { signal, response } = this.order;
    const tried = new Set<TaskId>();
    let failures = 0;
    while (!signal.aborted && failures < this.failuresMaximum()) {
      const target = this.choose(tried);
      const stream = target === null ? null : await this.open(target);
      if (target !== null && stream !== null) {
        failures = 0;
        tried.clear();
        await this.forward(stream, target);
      } else {
        failures += 1;
        await sleep(Math.min(RETRY_MS_MAXIMUM, RETRY_MS * failures), signal);
      }
      if (target !== null) {
        // Draining and refusing targets come last from now on.
        tried.add(target.taskId);
      }
    }
    if (!response.headersSent) {
      return false;
    }
    response.end(`${JSON.stringify({ cursor: this.cursor, end: 'drained' })}\n`);
    return true;
  }

  private failuresMaximum(): number {
    return this.order.response.headersSent ? FAILURES_MAXIMUM : FIRST_FAILURES_MAXIMUM;
  }

  private choose(tried: Set<TaskId>): ChosenTarget | null {
    const { requestId, team, service } = this.order;
    return this.selector.choose({
      requestId,
      team: team.name,
      service: service.name,
      deadline: Number.POSITIVE_INFINITY,
      bodyBytes: 0,
      avoid: tried,
    });
  }

  private async open({ agent, taskId }: ChosenTarget): Promise<IncomingMessage | null> {
    const path = `/v1/instances/${encodeURIComponent(taskId)}/watch`;
    const search = new URLSearchParams({ cursor: this.cursor });
    try {
      const stream = await inSpan('entry.watch', {}, { taskId, agentId: agent.agentId }, () =>
        this.http.stream(`${agent.address}${path}?${search}`, {
          headers: {
            ...traceHeaders(),
            [AGENT_ID_HEADER]: agent.agentId,
            authorization: bearerHeader(this.context.settings.sharedToken),
          },
          timeoutMs: OPEN_TIMEOUT_MS,
          newConnection: true,
          signal: this.order.signal,
        }),
      );
      if (stream.statusCode === 200) {
        return stream;
      }
      stream.resume();
      return null;
    } catch {
      return null;
    }
  }

  private async forward(stream: IncomingMessage, target: ChosenTarget): Promise<void> {
    this.sendHeaders();
    for await (const text of readLines(stream)) {
      const event = parseEvent(text);
      this.link.countStream(target.agent.address, text.length + 1);
      if (event?.cursor === undefined) {
        continue;
      }
      if (event.end !== undefined || this.order.signal.aborted) {
        break;
      }
      await this.write(text);
      this.cursor = String(event.cursor);
    }
  }

  private sendHeaders(): void {
    const { response, requestId } = this.order;
    if (response.headersSent) {
      return;
    }
    response.writeHead(200, {
      'content-type': 'application/x-ndjson',
      [OUTCOME_HEADER]: RequestOutcome.Completed,
      [REQUEST_ID_HEADER]: requestId,
    });
    response.flushHeaders();
  }

  /** Waits for a slow reader, which in turn slows the agent and the target. */
  private async write(text: string): Promise<void> {
    const { response, signal } = this.order;
    if (!response.write(`${text}\n`)) {
      await once(response, 'drain', { signal }).catch(() => {});
    }
  }
}

/** Null for a line that a cut left incomplete. */
function parseEvent(text: string): WatchEvent | null {
  try {
    return JSON.parse(text) as WatchEvent;
  } catch {
    return null;
  }
}
