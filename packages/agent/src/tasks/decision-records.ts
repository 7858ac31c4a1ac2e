/**
 * Writes the agent's decision records, which the `explain` command shows.
 */
import { ExplainSubject } from '@figjunction/types';
import type { DecisionRecord } from '@figjunction/types';
import type { AgentContext } from '../agent-context.js';
import type { TaskEntry } from './task-table.js';
import type { TaskRuntime } from './task-runtime.js';

export type DecisionFacts = Pick<DecisionRecord, 'kind' | 'decision' | 'inputs' | 'rejected'>;

/** Records a decision about a run (a batch task of a job) under both the run and the VM. */
export function recordRunDecision(
  { context }: TaskRuntime,
  entry: TaskEntry,
  facts: DecisionFacts,
): DecisionRecord {
  const record: DecisionRecord = {
    ...createCommonFields(context),
    ...facts,
    subject: ExplainSubject.Run,
    subjectId: entry.taskId,
    team: entry.team === '' ? null : entry.team,
  };
  context.decisions.add(record);
  const inputs = [...facts.inputs, { name: 'run', value: entry.taskId }];
  recordVmDecision(context, { ...facts, inputs });
  return record;
}

/** Records a decision under the VM only. */
export function recordVmDecision(context: AgentContext, facts: DecisionFacts): void {
  context.decisions.add({
    ...createCommonFields(context),
    ...facts,
    subject: ExplainSubject.Vm,
    subjectId: context.settings.agentId,
    team: null,
  });
}

function createCommonFields(context: AgentContext) {
  return {
    decidedAt: new Date(context.clock.wallTimeMs()).toISOString(),
    decidedBy: context.settings.agentId,
    configurationRevision: context.configuration.revision(),
  };
}
