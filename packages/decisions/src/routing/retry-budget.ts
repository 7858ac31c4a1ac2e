/**
 * Token bucket that limits retries and hedges to a fraction of the requests, so that they cannot amplify
 * an overload.
 */
const RETRIES_PER_REQUEST = 0.1;
const TOKENS_MAXIMUM = 20;

export class RetryBudget {
  private tokens = TOKENS_MAXIMUM;

  /** Records a request, which adds `RETRIES_PER_REQUEST` tokens. */
  recordRequest(): void {
    this.tokens = Math.min(TOKENS_MAXIMUM, this.tokens + RETRIES_PER_REQUEST);
  }

  /** Takes one token for a retry or hedge; returns false if none is left. */
  tryTake(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
