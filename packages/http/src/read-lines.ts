/**
 * Lines of a streamed answer.
 */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/**
 * Reads lines until the stream ends or breaks; both look the same to the reader, and the last line may be
 * cut short.
 */
export async function* readLines(stream: Readable): AsyncGenerator<string> {
  const lines = createInterface({ input: stream, crlfDelay: Number.POSITIVE_INFINITY });
  stream.on('error', () => lines.close());
  stream.once('close', () => lines.close());
  try {
    yield* lines;
  } catch {
    // The stream broke; the lines before that were handed over.
  } finally {
    lines.close();
    stream.destroy();
  }
}
