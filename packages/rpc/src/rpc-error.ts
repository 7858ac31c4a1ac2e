/**
 * Error of the RPC layer.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';
import type { FigjunctionErrorOptions } from '@figjunction/errors';

export interface RpcErrorOptions extends FigjunctionErrorOptions {
  requestSent?: boolean;
}

/** A call failed: the server returned an error, or no valid response arrived. */
export class RpcError extends FigjunctionError {
  /** False only when the server cannot have received the request. */
  readonly requestSent: boolean;

  constructor(message: string, options: RpcErrorOptions = {}) {
    const { requestSent = true, code = ErrorCode.Unavailable, ...rest } = options;
    super(message, { code, ...rest });
    this.requestSent = requestSent;
  }
}
