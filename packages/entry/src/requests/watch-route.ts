/**
 * Route for watches: `GET /v1/services/<service>/watch`.
 */
import { toError } from '@figjunction/errors';
import { HttpClient } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { OutcomeCode } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { createNotRunResult } from './interactive-request.js';
import { createResultFromInputError, sendResult } from './request-response.js';
import { authorizeCall, readRequestId } from './request-input.js';
import type { AuthorizedCall } from './request-input.js';
import type { RequestRunner } from './request-runner.js';
import { WatchStream } from './watch-stream.js';

export class WatchHandler {
  private readonly http = new HttpClient();

  private readonly stopping = new AbortController();

  constructor(
    private readonly context: EntryContext,
    private readonly runner: RequestRunner,
  ) {}

  createRoute(): Route {
    return {
      method: 'GET',
      pattern: /^\/v1\/services\/(?<service>[^/]+)\/watch$/u,
      handle: (match) => this.handleWatch(match),
    };
  }

  /** Ends all watches. Each caller receives its last cursor. */
  stop(): void {
    this.stopping.abort();
    this.http.close();
  }

  private async handleWatch(match: RouteMatch): Promise<void> {
    const { response, query } = match;
    const { requestId } = readRequestId(match.request);
    const call = this.authorizeOrReject(match);
    if (call === null) {
      return;
    }
    const { context, runner } = this;
    const refusal = runner.chargeQuota(call.team);
    if (refusal !== null) {
      sendResult(response, requestId, refusal);
      return;
    }
    const signal = this.createSignal(match);
    const options = { ...call, requestId, response, signal, cursor: query.get('cursor') ?? '' };
    const labels = { service: call.service.name };
    context.metrics.count('watches_total', labels);
    const stream = new WatchStream(context, this.http, runner.selector, runner.link, options);
    if (!(await stream.run())) {
      const message = `service ${call.service.name} has no target for a watch`;
      sendResult(response, requestId, createNotRunResult(OutcomeCode.NoTarget, message));
    }
  }

  private authorizeOrReject(match: RouteMatch): AuthorizedCall | null {
    const { requestId } = readRequestId(match.request);
    try {
      return authorizeCall(this.context, match);
    } catch (error) {
      const result = createResultFromInputError(toError(error));
      if (result === null) {
        throw error;
      }
      sendResult(match.response, requestId, result);
      return null;
    }
  }

  private createSignal({ response }: RouteMatch): AbortSignal {
    const disconnect = new AbortController();
    response.on('close', () => disconnect.abort());
    return AbortSignal.any([disconnect.signal, this.stopping.signal]);
  }
}
