/**
 * How tasks on one VM slow each other down, and how long a request takes. The product cannot see this
 * model; it sees lagging measurements only.
 */
import { WorkerTaskState } from '@figjunction/types';
import type { Resources } from '@figjunction/types';
import type { RandomSource } from '@figjunction/time';
import { isBatch, trueUse } from './fake-task.js';
import type { FakeTask } from './fake-task.js';
import type { WorkerFaults } from './worker-faults.js';

export function totalUse(tasks: Iterable<FakeTask>): Resources {
  const total = { processorMillicores: 0, memoryMegabytes: 0, accelerators: 0 };
  for (const task of tasks) {
    const use = trueUse(task);
    total.processorMillicores += use.processorMillicores;
    total.memoryMegabytes += use.memoryMegabytes;
    total.accelerators += use.accelerators;
  }
  return total;
}

/** How many times the processors of the VM are asked for; 1 when they suffice. */
export function contention(tasks: Iterable<FakeTask>, capacity: Resources): number {
  return Math.max(1, totalUse(tasks).processorMillicores / capacity.processorMillicores);
}

/** Service time of a service relative to an instance that is alone on the VM. */
export function slowdownOf(
  service: string,
  tasks: Iterable<FakeTask>,
  capacity: Resources,
  faults: WorkerFaults,
): number {
  const all = [...tasks];
  const load = contention(all, capacity);
  const interference = all
    .filter((task) => isBatch(task) && task.state === WorkerTaskState.Running)
    .map((task) => {
      const share = trueUse(task).processorMillicores / capacity.processorMillicores;
      return coefficientOf(task.start.kind, service, faults) * share * task.model.noise;
    })
    .reduce((sum, part) => sum + part, 0);
  // The effect of each pair grows with the load of the VM.
  return (1 + interference * load) * load;
}

function coefficientOf(kind: string, service: string, faults: WorkerFaults): number {
  const pair = faults.interference.find(
    (candidate) => candidate.kind === kind && candidate.service === service,
  );
  return pair?.coefficient ?? faults.defaultInterference;
}

/** A log-normal service time. */
export function serviceTimeMs(random: RandomSource, medianMs: number, spread: number): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.fraction()));
  const normal = radius * Math.cos(2 * Math.PI * random.fraction());
  return medianMs * Math.exp(spread * normal);
}
