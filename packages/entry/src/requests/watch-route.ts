/**
 * `GET /v1/services/<service>/watch`.
 */
import { toError } from '@figjunction/errors';
import { HttpClient } from '@figjunction/http';
import type { Route, RouteMatch } from '@figjunction/http';
import { OutcomeCode } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { notRun } from './interactive-request.js';
import { endOfInputError, sendEnd } from './request-response.js';
import { findTarget, requestIdOf } from './request-input.js';
import type { Target } from './request-input.js';
import type { RequestRunner } from './request-runner.js';
import { WatchStream } from './watch-stream.js';

export class Watches {
  private readonly http = new HttpClient();

  private readonly stopping = new AbortController();

  constructor(
    private readonly context: EntryContext,
    private readonly runner: RequestRunner,
  ) {}

  route(): Route {
    return {
      method: 'GET',
      pattern: /^\/v1\/services\/(?<service>[^/]+)\/watch$/u,
      handle: (match) => this.serve(match),
    };
  }

  /** Ends all watches with their cursors. */
  stop(): void {
    this.stopping.abort();
    this.http.close();
  }

  private async serve(match: RouteMatch): Promise<void> {
    const { response, query } = match;
    const { requestId } = requestIdOf(match.request);
    const target = this.targetOrRefuse(match);
    if (target === null) {
      return;
    }
    const { context, runner } = this;
    const refusal = runner.admitTeam(target.team);
    if (refusal !== null) {
      sendEnd(response, requestId, refusal);
      return;
    }
    const signal = this.signalOf(match);
    const order = { ...target, requestId, response, signal, cursor: query.get('cursor') ?? '' };
    const labels = { service: target.service.name };
    context.metrics.count('watches_total', labels);
    const stream = new WatchStream(context, this.http, runner.selector, runner.link, order);
    if (!(await stream.run())) {
      const message = `service ${target.service.name} has no target for a watch`;
      sendEnd(response, requestId, notRun(OutcomeCode.NoTarget, message));
    }
  }

  private targetOrRefuse(match: RouteMatch): Target | null {
    const { requestId } = requestIdOf(match.request);
    try {
      return findTarget(this.context, match);
    } catch (error) {
      const end = endOfInputError(toError(error));
      if (end === null) {
        throw error;
      }
      sendEnd(match.response, requestId, end);
      return null;
    }
  }

  private signalOf({ response }: RouteMatch): AbortSignal {
    const gone = new AbortController();
    response.on('close', () => gone.abort());
    return AbortSignal.any([gone.signal, this.stopping.signal]);
  }
}
