/**
 * Errors of the platform layer.
 */
import { ErrorCode, FigjunctionError } from '@figjunction/errors';

/**
 * A call to the table or the object store failed. With `ErrorCode.OutcomeUnknown` a write may have taken
 * effect; the row's write id tells.
 */
export class PlatformError extends FigjunctionError {
  /** True when a write certainly had no effect and will have none. */
  get certainlyNoEffect(): boolean {
    return this.code !== ErrorCode.OutcomeUnknown;
  }
}
