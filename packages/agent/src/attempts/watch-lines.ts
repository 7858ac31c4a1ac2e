/**
 * Lines of newline-delimited JSON. A line that a cut left incomplete is dropped.
 */
import type { Readable } from 'node:stream';
import { readLines } from '@figjunction/http';

/** A whole line and the cursor in it. */
export interface WatchLine {
  text: string;
  cursor: string;
  /** The target ends the stream with this line. */
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
