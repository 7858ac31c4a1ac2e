/**
 * The figjunction binary.
 */
import { runClient } from './run-client.js';
import { ProcessTerminal } from './terminal.js';

const terminal = new ProcessTerminal();
process.exitCode = await runClient(process.argv.slice(2), {
  terminal,
  environment: process.env,
});
