/**
 * What the main modules of the fakes share.
 */

/** Prints the line that the process harness waits for. */
export function announceReady(address: string): void {
  process.stdout.write(`${JSON.stringify({ msg: 'listening', address })}\n`);
}

/** Ends the process on SIGTERM or SIGINT after `stop`. */
export function stopOnSignal(stop: () => Promise<void>): void {
  const end = (): void => {
    stop().then(
      () => process.exit(0),
      () => process.exit(1),
    );
  };
  process.once('SIGTERM', end);
  process.once('SIGINT', end);
}
