/**
 * Reads the lines of a watch as newline-delimited JSON. Drops a line that is incomplete because the
 * connection was lost.
 */
import type { Readable } from 'node:stream';
import { readLines } from '@figjunction/http';

/** A complete line and its cursor. */
export interface WatchLine {
  text: string;
  cursor: string;
  /** Whether the target ends the stream with this line. */
  isEnd: boolean;
}

export async function* readWatchLines(stream: Readable): AsyncGenerator<WatchLine> {
  for await (const text of readLines(stream)) {
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
