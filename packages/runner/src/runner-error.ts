/**
 * Errors of the runner.
 */
import { FigjunctionError } from '@figjunction/errors';

export class RunnerError extends FigjunctionError {}
