/**
 * Runs one request: chooses an instance, sends the attempt and decides whether another one may follow.
 */
import { OutcomeCode } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';
import { AttemptClient } from './attempt-client.js';
import { notRun } from './interactive-request.js';
import type { InteractiveRequest, RequestEnd } from './interactive-request.js';

const SILENCE_BOUND_MS = 250;

export class RequestExecutor {
  private readonly attempts: AttemptClient;

  constructor(private readonly context: EntryContext) {
    this.attempts = new AttemptClient(context);
  }

  async execute(request: InteractiveRequest): Promise<RequestEnd> {
    const [known] = this.context.agents.instancesOf(request.service.name);
    if (known === undefined) {
      return notRun(OutcomeCode.NoTarget, `service ${request.service.name} has no target`);
    }
    const { agentId, incarnation, address } = known.agent;
    return this.attempts.run({
      agent: { agentId, incarnation, address },
      attempt: this.attempts.nextAttempt(),
      requestId: request.requestId,
      parameters: {
        taskId: known.instance.taskId,
        service: request.service.name,
        team: request.team.name,
        urgency: request.urgency,
        contentType: request.contentType,
        bodyBase64: request.body.toString('base64'),
      },
      deadline: request.deadline,
      silenceBoundMs: SILENCE_BOUND_MS,
    });
  }
}
