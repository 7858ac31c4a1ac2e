/**
 * Errors of the gateway.
 */
import { FigjunctionError } from '@figjunction/errors';

export class GatewayError extends FigjunctionError {}
