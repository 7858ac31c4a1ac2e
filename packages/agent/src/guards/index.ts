/**
 * Protects the services of this VM from batch work that slows them, and drains the VM.
 */
import { RpcMethod } from '@figjunction/types';
import type { DaemonModule } from '@figjunction/runtime';
import type { AgentContext } from '../agent-context.js';
import { taskRuntimeOf } from '../tasks/task-runtime.js';
import { GuardShell } from './guard-controller.js';
import { VmDrain } from './vm-drain.js';

const DRAIN_INTERVAL_MS = 100;
const RELEASE_INTERVAL_MS = 1_000;

export function createGuardModule(context: AgentContext): DaemonModule {
  const runtime = taskRuntimeOf(context);
  const shell = new GuardShell(runtime);
  const drain = new VmDrain(runtime);
  runtime.usageListeners.push((usage) => shell.onUsage(usage));
  runtime.restraintOf = (kind) => shell.restraintOf(kind);
  return {
    rpcHandlers: {
      [RpcMethod.AgentDrain]: (parameters) => {
        drain.set(parameters.drain);
        return {};
      },
    },
    systems: [
      { name: 'drain', intervalMs: DRAIN_INTERVAL_MS, run: () => drain.run() },
      {
        name: 'guards',
        intervalMs: RELEASE_INTERVAL_MS,
        run: () => shell.releaseWhenDisabled(),
      },
    ],
    stop: () => drain.finished(),
  };
}
