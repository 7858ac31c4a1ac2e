/**
 * The methods between the processes of the system, with their parameters and results.
 */
import type {
  AdoptParameters,
  JobStatesParameters,
  JobStatesResult,
  OrdersParameters,
  OrdersResult,
  PendingCountsResult,
  ReportParameters,
  ReportResult,
  RunnerListParameters,
  RunnerListResult,
} from './cell/cell-messages.js';
import type { HeartbeatParameters, HeartbeatResult } from './heartbeat-messages.js';
import type {
  AttemptCancelResult,
  AttemptInquireResult,
  AttemptReference,
  AttemptRunParameters,
  AttemptRunResult,
  ConfigurationGetParameters,
  ConfigurationGetResult,
  DrainParameters,
  EntryDigestParameters,
  EntryDigestResult,
  EntryNotifyParameters,
  ExplainGetParameters,
  ExplainGetResult,
  LeaseRenewParameters,
  LeaseRenewResult,
  TaskReportParameters,
  TaskReportResult,
  TaskReserveParameters,
  TaskReserveResult,
  TaskStartParameters,
  TaskStopParameters,
} from './messages.js';

export enum RpcMethod {
  AgentHeartbeat = 'agent.heartbeat',
  LeaseRenew = 'lease.renew',
  ConfigurationGet = 'configuration.get',
  TaskReserve = 'task.reserve',
  TaskStart = 'task.start',
  TaskStop = 'task.stop',
  TaskReport = 'task.report',
  AttemptRun = 'attempt.run',
  AttemptInquire = 'attempt.inquire',
  AttemptCancel = 'attempt.cancel',
  AgentDrain = 'agent.drain',
  EntryDigest = 'entry.digest',
  EntryNotify = 'entry.notify',
  ExplainGet = 'explain.get',
  RunnerReport = 'runner.report',
  RunnerOrders = 'runner.orders',
  RunnerAdopt = 'runner.adopt',
  RunnerList = 'runner.list',
  JobStates = 'job.states',
  PendingCounts = 'queue.pending',
}

/** The methods with their parameter and result types, for the typed client and server. */
export interface RpcMethods {
  [RpcMethod.AgentHeartbeat]: { parameters: HeartbeatParameters; result: HeartbeatResult };
  [RpcMethod.LeaseRenew]: { parameters: LeaseRenewParameters; result: LeaseRenewResult };
  [RpcMethod.ConfigurationGet]: {
    parameters: ConfigurationGetParameters;
    result: ConfigurationGetResult;
  };
  [RpcMethod.TaskReserve]: { parameters: TaskReserveParameters; result: TaskReserveResult };
  [RpcMethod.TaskStart]: { parameters: TaskStartParameters; result: Record<string, never> };
  [RpcMethod.TaskStop]: { parameters: TaskStopParameters; result: Record<string, never> };
  [RpcMethod.TaskReport]: { parameters: TaskReportParameters; result: TaskReportResult };
  [RpcMethod.AttemptRun]: { parameters: AttemptRunParameters; result: AttemptRunResult };
  [RpcMethod.AttemptInquire]: { parameters: AttemptReference; result: AttemptInquireResult };
  [RpcMethod.AttemptCancel]: { parameters: AttemptReference; result: AttemptCancelResult };
  [RpcMethod.AgentDrain]: { parameters: DrainParameters; result: Record<string, never> };
  [RpcMethod.EntryDigest]: { parameters: EntryDigestParameters; result: EntryDigestResult };
  [RpcMethod.EntryNotify]: { parameters: EntryNotifyParameters; result: Record<string, never> };
  [RpcMethod.ExplainGet]: { parameters: ExplainGetParameters; result: ExplainGetResult };
  [RpcMethod.RunnerReport]: { parameters: ReportParameters; result: ReportResult };
  [RpcMethod.RunnerOrders]: { parameters: OrdersParameters; result: OrdersResult };
  [RpcMethod.RunnerAdopt]: { parameters: AdoptParameters; result: Record<string, never> };
  [RpcMethod.RunnerList]: { parameters: RunnerListParameters; result: RunnerListResult };
  [RpcMethod.JobStates]: { parameters: JobStatesParameters; result: JobStatesResult };
  [RpcMethod.PendingCounts]: { parameters: Record<string, never>; result: PendingCountsResult };
}
