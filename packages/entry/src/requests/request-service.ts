/**
 * Takes interactive requests to their end, with or without a claim.
 */
import type { Instant } from '@figjunction/time';
import type { EntryContext } from '../entry-context.js';
import { ClaimedRequests } from './claimed-requests.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';
import { RequestRunner } from './request-runner.js';

export class RequestService {
  readonly runner: RequestRunner;

  /** True from the start of a planned stop: answers close their connections. */
  isStopping = false;

  private readonly claimed: ClaimedRequests;

  constructor(context: EntryContext) {
    this.runner = new RequestRunner(context);
    this.claimed = new ClaimedRequests(context, this.runner);
  }

  async execute(request: InteractiveRequest): Promise<RequestEnd> {
    if (request.idFromCaller && !request.idempotent) {
      return this.claimed.execute(request);
    }
    return this.runner.admit(request) ?? this.runner.run(request);
  }

  /** Writes what is due to the table. */
  flush(now: Instant): Promise<void> {
    return this.claimed.flush(now);
  }

  async stop(): Promise<void> {
    this.isStopping = true;
    await this.claimed.stop();
  }
}
