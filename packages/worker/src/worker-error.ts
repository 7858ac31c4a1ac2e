/**
 * Errors of calls to a worker.
 */
import { FigjunctionError } from '@figjunction/errors';

export class WorkerError extends FigjunctionError {}
