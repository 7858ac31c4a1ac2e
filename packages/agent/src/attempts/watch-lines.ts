/**
 * Lines of newline-delimited JSON. A line that a cut left incomplete is dropped.
 */
import { createInterface } from 'node:readline';
import type { Readable } from 'node:stream';

/** A whole line and the cursor in it. */
export interface WatchLine {
  text: string;
  cursor: string;
  /** The target ends the stream with this line. */
  isEnd: boolean;
}

export async function* readWatchLines(stream: Readable): AsyncGenerator<WatchLine> {
  const lines = createInterface({ input: stream, crlfDelay: Number.POSITIVE_INFINITY });
  // A broken stream ends the lines; readline alone would wait for its end.
  stream.on('error', () => lines.close());
  stream.once('close', () => lines.close());
  for await (const text of lines) {
    const line = parseLine(text);
    if (line !== null) {
      yield line;
    }
  }
}

function parseLine(text: string): WatchLine | null {
  try {
    const { cursor, end } = JSON.parse(text) as { cursor?: string | number; end?: string };
    return cursor === undefined ? null : { text, cursor: String(cursor), isEnd: end !== undefined };
  } catch {
    return null;
  }
}
