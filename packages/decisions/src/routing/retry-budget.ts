/**
 * Limits retries and hedges to a fraction of the requests, so that they cannot multiply an overload.
 */
const RETRIES_PER_REQUEST = 0.1;
const BUCKET_SIZE = 20;

export class RetryBudget {
  private tokens = BUCKET_SIZE;

  /** Counts a request, which earns a part of a retry. */
  earn(): void {
    this.tokens = Math.min(BUCKET_SIZE, this.tokens + RETRIES_PER_REQUEST);
  }

  /** Takes one retry; false when the budget is used up. */
  take(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
