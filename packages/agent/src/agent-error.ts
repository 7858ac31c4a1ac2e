/**
 * Errors of the agent daemon.
 */
import { FigjunctionError } from '@figjunction/errors';

export class AgentError extends FigjunctionError {}
