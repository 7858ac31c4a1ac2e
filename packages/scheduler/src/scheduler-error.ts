/**
 * Errors of the scheduler of a cell.
 */
import { FigjunctionError } from '@figjunction/errors';

export class SchedulerError extends FigjunctionError {}
