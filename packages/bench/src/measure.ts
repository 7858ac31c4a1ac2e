/**
 * Entry point of `npm run measure`: runs one scenario against real processes and prints one line of JSON
 * per policy, and the ratios when both policies ran.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { errorMessage } from './error-message.js';
import { measurePolicy, ratiosOf } from './measure/report.js';
import type { PolicyLine } from './measure/report.js';
import { Policy } from './measure/scenario.js';
import type { Scenario } from './measure/scenario.js';
import { SCENARIOS } from './measure/scenarios/index.js';

const USAGE_EXIT_CODE = 2;
const DEFAULT_SEED = 1;
const DEFAULT_POLICIES = [Policy.Baseline, Policy.Product];

const flags = await yargs(hideBin(process.argv))
  .scriptName('npm run measure --')
  .option('scenario', { type: 'string', describe: 'scenario to run, see --list' })
  .option('policy', {
    choices: Object.values(Policy),
    describe: 'run one policy; baseline and product by default',
  })
  .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'seed of load and processes' })
  .option('list', { type: 'boolean', default: false, describe: 'list the scenarios' })
  .strict()
  .parseAsync();

if (flags.list) {
  SCENARIOS.forEach(({ name, summary }) => console.log(`${name.padEnd(16)}${summary}`));
  process.exit(0);
}
const scenario = SCENARIOS.find(({ name }) => name === flags.scenario);
if (scenario === undefined) {
  console.error(`measure: name one of: ${SCENARIOS.map(({ name }) => name).join(', ')}`);
  process.exit(USAGE_EXIT_CODE);
}
try {
  await measure(scenario, flags.policy === undefined ? DEFAULT_POLICIES : [flags.policy]);
  process.exit(0);
} catch (error) {
  console.error(errorMessage(error));
  process.exit(1);
}

async function measure(chosen: Scenario, policies: Policy[]): Promise<void> {
  const lines = new Map<Policy, PolicyLine>();
  for (const policy of policies) {
    const line = await measurePolicy(chosen, { policy, seed: flags.seed });
    lines.set(policy, line);
    console.log(JSON.stringify(line));
  }
  const baseline = lines.get(Policy.Baseline);
  const product = lines.get(Policy.Product);
  if (baseline !== undefined && product !== undefined) {
    const ratios = ratiosOf(baseline.figures, product.figures);
    console.log(JSON.stringify({ scenario: chosen.name, seed: flags.seed, ratios }));
  }
}
