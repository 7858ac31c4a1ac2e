/**
 * Guards against starting an attempt that this agent refused before: after the refusal, the entry runs the
 * request elsewhere, and a second copy of the message may still arrive here.
 */
import assert from 'node:assert/strict';
import { it } from 'node:test';
import { agentSettingsSchema } from '@figjunction/config';
import { createLogger } from '@figjunction/logger';
import { AgentState, OutcomeCode, RequestOutcome } from '@figjunction/types';
import type { AttemptRunParameters } from '@figjunction/types';
import { createAgentContext } from '../agent-context.js';
import type { AgentContextOptions } from '../agent-context.js';
import { AttemptService } from './attempt-service.js';

const SETTINGS = agentSettingsSchema.parse({
  agentId: 'vm-1',
  location: { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' },
  platformAddress: 'http://127.0.0.1:1',
  workerAddress: 'http://127.0.0.1:1',
  sharedToken: 'shared-token-of-a-test',
});

const PARAMETERS: AttemptRunParameters = {
  attempt: { entryIncarnation: 'entry', sequence: 1 },
  incarnation: 1,
  taskId: 'instance-labels-0',
  service: 'labels',
  team: 'hotel',
  urgency: 'kitchen',
  remainingMs: 1_000,
  contentType: 'text/plain',
  bodyBase64: '',
};

it('refuses the second copy of an attempt that was refused while resuming from a pause', async () => {
  const context = createAgentContext({
    settings: SETTINGS,
    logger: createLogger({ name: 'test', level: 'silent' }),
  } as AgentContextOptions);
  context.incarnation = 1;
  context.state = AgentState.Serving;
  context.instances.set({
    taskId: PARAMETERS.taskId,
    service: PARAMETERS.service,
    attempt: 1,
    targetAddress: 'http://127.0.0.1:1',
    slots: 8,
    slotsUsed: 0,
    connections: 64,
    connectionsUsed: 0,
    draining: false,
  });
  const service = new AttemptService(context);
  let isResuming = true;
  context.pauseDetector.isResuming = () => isResuming;
  const first = await service.run(PARAMETERS, {});
  isResuming = false;
  const second = await service.run(PARAMETERS, {});
  service.close();
  for (const { outcome, code } of [first, second]) {
    assert.equal(outcome, RequestOutcome.NotRun);
    assert.equal(code, OutcomeCode.AttemptExpired);
  }
});
