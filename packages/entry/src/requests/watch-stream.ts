/**
 * One long-lived watch of a caller. Forwards complete lines from a target and, when its stream ends, resumes
 * at another target from the last cursor.
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
import type { AuthorizedCall } from './request-input.js';
import type { RegionLink } from './region-link.js';
import type { ChosenTarget, TargetSelector } from './target-selector.js';

/** The call and the response of one watch. */
export interface WatchOptions extends AuthorizedCall {
  requestId: RequestId;
  cursor: string;
  response: ServerResponse;
  /** Aborts when the caller disconnects or the entry stops. */
  signal: AbortSignal;
}

/** One line of a stream. `end` is present on the last line. */
interface WatchEvent {
  cursor?: string | number;
  end?: string;
}

const OPEN_TIMEOUT_MS = 5_000;
const RETRY_INTERVAL_MS = 50;
const RETRY_INTERVAL_MS_MAXIMUM = 1_000;

/** After this many consecutive failures to open a stream, the watch ends and the caller must reconnect. */
const FAILURES_MAXIMUM = 20;

/** Fewer failures are allowed before the response headers are sent. */
const INITIAL_FAILURES_MAXIMUM = 3;

export class WatchStream {
  private cursor: string;

  constructor(
    private readonly context: EntryContext,
    private readonly http: HttpClient,
    private readonly selector: TargetSelector,
    private readonly link: RegionLink,
    private readonly options: WatchOptions,
  ) {
    this.cursor = options.cursor;
  }

  /**
   * Runs until the caller disconnects, the entry stops or no target accepts the watch any more. False when
   * no target accepted it at all.
   */
  async run(): Promise<boolean> {
    const { signal, response } = this.options;
    const triedTaskIds = new Set<TaskId>();
    let failures = 0;
    while (!signal.aborted && failures < this.getFailuresMaximum()) {
      const target = this.choose(triedTaskIds);
      const stream = target === null ? null : await this.open(target);
      if (target !== null && stream !== null) {
        failures = 0;
        triedTaskIds.clear();
        await this.forward(stream, target);
      } else {
        failures += 1;
        await sleep(Math.min(RETRY_INTERVAL_MS_MAXIMUM, RETRY_INTERVAL_MS * failures), signal);
      }
      if (target !== null) {
        // Tries all other targets first, in case this one is draining or refuses the watch.
        triedTaskIds.add(target.taskId);
      }
    }
    if (!response.headersSent) {
      return false;
    }
    response.end(`${JSON.stringify({ cursor: this.cursor, end: 'drained' })}\n`);
    return true;
  }

  private getFailuresMaximum(): number {
    return this.options.response.headersSent ? FAILURES_MAXIMUM : INITIAL_FAILURES_MAXIMUM;
  }

  private choose(triedTaskIds: Set<TaskId>): ChosenTarget | null {
    const { requestId, team, service } = this.options;
    return this.selector.choose({
      requestId,
      team: team.name,
      service: service.name,
      deadline: Number.POSITIVE_INFINITY,
      bodyBytes: 0,
      avoidedTaskIds: triedTaskIds,
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
          signal: this.options.signal,
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
    for await (const line of readLines(stream)) {
      const event = parseEvent(line);
      this.link.recordStreamBytes(target.agent.address, line.length + 1);
      if (event?.cursor === undefined) {
        continue;
      }
      if (event.end !== undefined || this.options.signal.aborted) {
        break;
      }
      await this.write(line);
      this.cursor = String(event.cursor);
    }
  }

  private sendHeaders(): void {
    const { response, requestId } = this.options;
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

  /** Waits while the response buffer is full, so that a slow caller applies backpressure to the target. */
  private async write(line: string): Promise<void> {
    const { response, signal } = this.options;
    if (!response.write(`${line}\n`)) {
      await once(response, 'drain', { signal }).catch(() => {});
    }
  }
}

/** Null for an incomplete line, which a lost connection leaves behind. */
function parseEvent(line: string): WatchEvent | null {
  try {
    return JSON.parse(line) as WatchEvent;
  } catch {
    return null;
  }
}
