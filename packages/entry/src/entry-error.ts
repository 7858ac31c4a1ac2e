/**
 * Errors of the entry daemon.
 */
import { FigjunctionError } from '@figjunction/errors';

export class EntryError extends FigjunctionError {}
