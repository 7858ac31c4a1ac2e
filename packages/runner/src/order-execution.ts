/**
 * The orders that a runner executes together, with the session of the VM that they are meant for, and the key of a run
 * in the tables of the executor.
 */
import type { OrdersParameters, RunReference } from '@figjunction/types';
import type { VmSession } from './vm-session.js';

export interface OrderExecution {
  orders: OrdersParameters;
  session: VmSession;
  /** False once the scheduler's session or its grant has ended: the task may be started elsewhere from then on. */
  isCurrent: () => boolean;
}

export function buildKey({ taskId, run }: RunReference): string {
  return `${taskId}#${run}`;
}
