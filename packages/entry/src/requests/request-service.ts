/**
 * Executes interactive requests, with a claim if they must not run twice.
 */
import type { Instant } from '@figjunction/time';
import type { EntryContext } from '../entry-context.js';
import { ClaimedRequests } from './claimed-requests.js';
import type { InteractiveRequest, RequestResult } from './interactive-request.js';
import { RequestRunner } from './request-runner.js';

export class RequestService {
  readonly runner: RequestRunner;

  /** True from the start of a planned stop. Responses then close their connections. */
  isStopping = false;

  private readonly claimedRequests: ClaimedRequests;

  constructor(context: EntryContext) {
    this.runner = new RequestRunner(context);
    this.claimedRequests = new ClaimedRequests(context, this.runner);
  }

  async execute(request: InteractiveRequest): Promise<RequestResult> {
    if (request.isIdFromCaller && !request.isIdempotent) {
      return this.claimedRequests.execute(request);
    }
    return this.runner.admit(request) ?? this.runner.run(request);
  }

  /** Writes the pending results of claimed requests to the table. */
  flush(now: Instant): Promise<void> {
    return this.claimedRequests.flush(now);
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.claimedRequests.stop();
  }
}
