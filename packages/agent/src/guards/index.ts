/**
 * The module that protects services on this VM from interference by batch work, and drains the VM.
 */
import { RpcMethod } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { AgentContext } from '../agent-context.js';
import { getTaskRuntime } from '../tasks/task-runtime.js';
import { GuardController } from './guard-controller.js';
import { VmDrain } from './vm-drain.js';

const DRAIN_INTERVAL_MS = 100;
const RESET_INTERVAL_MS = 1_000;

export function createGuardModule(context: AgentContext): DaemonModule {
  const runtime = getTaskRuntime(context);
  const guardController = new GuardController(runtime);
  const drain = new VmDrain(runtime);
  runtime.usageListeners.push((usage) => guardController.handleUsage(usage));
  runtime.findKindLimits = (kind) => guardController.restraintOf(kind);
  return {
    rpcHandlers: {
      [RpcMethod.AgentDrain]: (parameters) => {
        drain.setDraining(parameters.drain);
        return {};
      },
    },
    systems: [
      { name: 'drain', intervalMs: DRAIN_INTERVAL_MS, run: () => drain.stopTasks() },
      {
        name: 'guards',
        intervalMs: RESET_INTERVAL_MS,
        run: () => guardController.resetThrottlesWhenDisabled(),
      },
    ],
    stop: () => drain.waitUntilDrained(),
  };
}
