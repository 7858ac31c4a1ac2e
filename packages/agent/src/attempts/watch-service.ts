/**
 * Forwards the streams of watches from targets to entries. When the instance or the agent drains, the stream
 * ends with its last cursor, from which the entry continues at another target.
 */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { ErrorCode } from '@figjunction/errors';
import { HttpClient } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { bearerToken, equalsInConstantTime } from '@figjunction/rpc';
import { inSpan, traceHeaders } from '@figjunction/telemetry';
import { AGENT_ID_HEADER, AgentState } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import { AgentError } from '../agent-error.js';
import type { InstanceEntry } from '../instance-table.js';
import type { SlotTable } from './slot-table.js';
import { readWatchLines } from './watch-lines.js';

/** How long the target may take to start the stream. */
const OPEN_TIMEOUT_MS = 5_000;

/** An open stream and the controller that ends it. */
interface OpenWatch {
  instance: InstanceEntry;
  abortController: AbortController;
}

export class WatchService {
  private readonly openWatches = new Set<OpenWatch>();

  private readonly http = new HttpClient();

  constructor(
    private readonly context: AgentContext,
    private readonly slots: SlotTable,
  ) {}

  get count(): number {
    return this.openWatches.size;
  }

  route(): Route {
    return {
      method: 'GET',
      pattern: /^\/v1\/instances\/(?<taskId>[^/]+)\/watch$/u,
      handle: (match) => this.serve(match),
    };
  }

  /** Ends the streams of instances that no longer accept watches. */
  closeDrained(): void {
    for (const { instance, abortController } of this.openWatches) {
      if (!this.acceptsWatches(instance)) {
        abortController.abort();
      }
    }
  }

  close(): void {
    this.http.close();
  }

  private async serve(match: RouteMatch): Promise<void> {
    this.authenticate(match);
    const instance = this.context.instances.get(match.parameters.taskId ?? '');
    if (instance === undefined || !this.acceptsWatches(instance)) {
      throw new AgentError('the instance accepts no watches', { code: ErrorCode.Unavailable });
    }
    if (!this.slots.acquireWatchConnection(instance)) {
      throw new AgentError('the instance has no free connection', { code: ErrorCode.Unavailable });
    }
    const watch = { instance, abortController: new AbortController() };
    this.openWatches.add(watch);
    match.response.on('close', () => watch.abortController.abort());
    try {
      await inSpan('agent.watch', match.request.headers, { service: instance.service }, () =>
        this.stream(match, watch),
      );
    } finally {
      this.openWatches.delete(watch);
      this.slots.releaseWatchConnection(instance);
    }
  }

  private async stream(match: RouteMatch, watch: OpenWatch): Promise<void> {
    const { response, query } = match;
    const { signal } = watch.abortController;
    let cursor = query.get('cursor') ?? '';
    const search = new URLSearchParams({ cursor });
    const target = await this.http.stream(`${watch.instance.targetAddress}/watch?${search}`, {
      headers: traceHeaders(),
      timeoutMs: OPEN_TIMEOUT_MS,
      newConnection: true,
      signal,
    });
    if (target.statusCode !== 200) {
      target.destroy();
      throw new AgentError(`the target responded to the watch with status ${target.statusCode}`, {
        code: ErrorCode.Unavailable,
      });
    }
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
    this.context.metrics.count('watches_total', { service: watch.instance.service });
    for await (const line of readWatchLines(target)) {
      if (line.isEnd || signal.aborted) {
        break;
      }
      await writeLine(response, line.text, signal);
      cursor = line.cursor;
    }
    response.end(`${JSON.stringify({ cursor, end: 'drained' })}\n`);
  }

  private acceptsWatches(instance: InstanceEntry): boolean {
    return (
      this.context.state === AgentState.Serving &&
      !instance.draining &&
      instance.targetAddress !== null &&
      this.context.instances.get(instance.taskId) === instance
    );
  }

  private authenticate({ request }: RouteMatch): void {
    const { sharedToken, agentId } = this.context.settings;
    const token = bearerToken(request.headers.authorization);
    if (token === null || !equalsInConstantTime(token, sharedToken)) {
      throw new AgentError('the shared token is missing or wrong', {
        code: ErrorCode.Unauthenticated,
      });
    }
    if (request.headers[AGENT_ID_HEADER] !== agentId) {
      throw new AgentError(`this is agent ${agentId}`, { code: ErrorCode.NotFound });
    }
  }
}

/** Writes a line and waits until a slow reader has drained the buffer. */
async function writeLine(
  response: ServerResponse,
  text: string,
  signal: AbortSignal,
): Promise<void> {
  if (!response.write(`${text}\n`)) {
    await once(response, 'drain', { signal }).catch(() => {});
  }
}
