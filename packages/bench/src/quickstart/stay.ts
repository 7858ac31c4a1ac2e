/**
 * What `quickstart -- --stay` prints and how it ends.
 */
import type { Cluster } from '@figjunction/test-support';
import { BANQUET_TOKEN, KITCHEN_TOKEN, OPERATOR_TOKEN } from './tour.js';

const SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM'];
const INTERRUPTED_EXIT_CODE = 130;

/** Addresses, tokens and commands to try in another terminal. */
export function describeStay(cluster: Cluster): string {
  const addresses = cluster.entries.map(({ address }) => address);
  return `
The system keeps running until Ctrl-C. In another terminal:

  export FIGJUNCTION_ADDRESS=${addresses.join(',')}
  export FIGJUNCTION_TOKEN=${OPERATOR_TOKEN}

  npx figjunction status
  npx figjunction runs
  npx figjunction plan examples/pindos.jsonc
  npx figjunction drain vm-1
  npx figjunction explain vm vm-1
  npx figjunction drain vm-1 --end
  FIGJUNCTION_TOKEN=${BANQUET_TOKEN} npx figjunction submit examples/overnight-menus.jsonc --job-id second-night --wait
  curl -X POST -H "authorization: Bearer ${KITCHEN_TOKEN}" -d '{"dish": "mantı"}' ${addresses[0]}/v1/services/label/requests
  curl -H "authorization: Bearer ${OPERATOR_TOKEN}" ${addresses[0]}/metrics`;
}

/** The first signal leads to a graceful stop; a second one kills what still runs. */
export function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    for (const signal of SIGNALS) {
      // The harness ends the process at the first signal, which would cut a graceful stop short.
      process.removeAllListeners(signal);
      process.once(signal, () => {
        process.once(signal, () => process.exit(INTERRUPTED_EXIT_CODE));
        resolve();
      });
    }
  });
}
