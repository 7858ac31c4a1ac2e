/**
 * Reads KNOWN-RED.txt: failures that are known and not yet fixed. Each entry is a block of lines
 * `name: value`, separated by an empty line; `test:` names the test or the proof.
 */
import { readFileSync } from 'node:fs';

const TEST_LINE = /^test:\s*(?<name>.+)$/u;

/** Names of the tests and proofs that are known to fail. */
export function readKnownRed(path: string): Set<string> {
  let text: string;
  try {
    text = readFileSync(path, 'utf8');
  } catch {
    return new Set();
  }
  const names = text
    .split('\n')
    .map((line) => TEST_LINE.exec(line)?.groups?.name?.trim())
    .filter((name): name is string => name !== undefined);
  return new Set(names);
}
