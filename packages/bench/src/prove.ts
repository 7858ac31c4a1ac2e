/**
 * Entry point of `npm run prove`: runs the proofs one after the other and prints one line each. With
 * numbers as arguments it runs only those.
 */
import { errorMessage } from './error-message.js';
import { readKnownRed } from './known-red.js';
import { PROOFS } from './proofs/index.js';
import type { Proof } from './proofs/proof.js';

const KNOWN_RED_PATH = 'KNOWN-RED.txt';

const wanted = new Set(process.argv.slice(2).map(Number));
const knownRed = readKnownRed(KNOWN_RED_PATH);
const selected = PROOFS.filter((proof) => wanted.size === 0 || wanted.has(proof.number));

let unexpectedFailures = 0;
for (const proof of selected) {
  const failure = await runProof(proof);
  const isKnown = knownRed.has(proof.property);
  if (failure === null) {
    console.log(`holds: ${proof.property}`);
  } else {
    console.log(`fails: ${proof.property}${isKnown ? ' (known, see KNOWN-RED.txt)' : ''}`);
    console.error(failure);
    unexpectedFailures += isKnown ? 0 : 1;
  }
}
const passed = selected.length - unexpectedFailures;
console.log(`${passed} passed, ${unexpectedFailures} failed`);
process.exit(unexpectedFailures === 0 ? 0 : 1);

async function runProof(proof: Proof): Promise<string | null> {
  try {
    await proof.run();
    return null;
  } catch (error) {
    return errorMessage(error);
  }
}
