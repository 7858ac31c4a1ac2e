/**
 * Keeps slow calls out of the tick loop: a system starts the work and the loop goes on. While one run is
 * in flight, further starts are dropped.
 */
import { toError } from '@figjunction/errors';

export interface SingleFlightOptions {
  run: () => Promise<void>;
  onError?: (error: Error) => void;
}

export class SingleFlight {
  private readonly run: () => Promise<void>;

  private readonly onError: (error: Error) => void;

  private inFlight: Promise<void> | null = null;

  constructor(options: SingleFlightOptions) {
    const { run, onError = () => {} } = options;
    this.run = run;
    this.onError = onError;
  }

  /** Starts a run unless one is in flight; resolves when the run in flight has ended. */
  start(): Promise<void> {
    this.inFlight ??= this.runOnce();
    return this.inFlight;
  }

  private async runOnce(): Promise<void> {
    try {
      await this.run();
    } catch (error) {
      this.onError(toError(error));
    } finally {
      this.inFlight = null;
    }
  }
}
