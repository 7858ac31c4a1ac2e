/**
 * Which instances the configuration declares.
 */
import type { OperatorConfiguration } from '@figjunction/config';
import { TaskType } from '@figjunction/types';
import type { TaskRow } from '@figjunction/types';
import { instanceIndex } from './task-identifiers.js';

/** Whether a row is an instance beyond the declared number, or of a service that was removed. */
export function isSurplusInstance(configuration: OperatorConfiguration, row: TaskRow): boolean {
  if (row.type !== TaskType.Instance) {
    return false;
  }
  const service = configuration.services.find(({ name }) => name === row.kind);
  return service === undefined || instanceIndex(row.taskId) >= service.instances;
}
