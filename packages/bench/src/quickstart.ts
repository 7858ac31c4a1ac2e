/**
 * Entry point of `npm run quickstart`: a small system of separate processes on loopback, from the first
 * file to one explained decision. With `--stay` it keeps running.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { startCluster } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';
import { errorMessage } from './error-message.js';
import { Tour } from './quickstart/tour.js';
import { describeStay, waitForSignal } from './quickstart/stay.js';

const { stay } = await yargs(hideBin(process.argv))
  .option('stay', { type: 'boolean', default: false, describe: 'keep everything running' })
  .strict()
  .parseAsync();

console.log(
  'starting stand-ins for the platform and three workers, two entries and three agents …',
);
const cluster = await startCluster({ entries: 2, agents: 3 });
try {
  await new Tour(cluster).run();
  if (stay) {
    console.log(describeStay(cluster));
    await waitForSignal();
  }
  await stopAll(cluster);
} catch (error) {
  console.error(errorMessage(error));
  process.exitCode = 1;
} finally {
  await cluster.close();
}

/** Stops everything as an operator would and checks that each process ended with code 0. */
async function stopAll(running: Cluster): Promise<void> {
  console.log('\nstopping agents, entries and stand-ins gracefully …');
  const daemons = [...running.agents, ...running.entries];
  await running.stopGracefully();
  for (const daemon of daemons) {
    const { code, signal } = await daemon.exited;
    if (code !== 0) {
      throw new Error(`${daemon.name} ended with ${signal ?? `code ${code}`}`);
    }
  }
  console.log('all processes ended with code 0');
}
