/**
 * Errors of the scheduler.
 */
import { FigjunctionError } from '@figjunction/errors';

export class SchedulerError extends FigjunctionError {}
