/**
 * The text of anything that was thrown, with its stack when it has one.
 */
export function errorMessage(thrown: unknown): string {
  if (thrown instanceof Error) {
    return thrown.stack ?? thrown.message;
  }
  return String(thrown);
}
