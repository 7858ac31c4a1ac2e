/**
 * Runs one play of a case against a deployment, ends all processes, and exits with 1 if the rule was broken, 0 if it
 * held, and 2 if the case couldn't run.
 */
import { Deployment } from './deployment.mjs';

export const HAS_TROUBLE = process.env.TROUBLE !== '0';

export async function runCase(folder, play) {
  const deployment = new Deployment({ folder });
  let code = 2;
  process.once('SIGTERM', () => {
    deployment.record('case-stopped');
    deployment.stop().finally(() => process.exit(2));
  });
  try {
    code = (await play(deployment)) ? 0 : 1;
  } catch (error) {
    deployment.record('case-failed', { error: error.stack });
  } finally {
    await deployment.stop();
  }
  process.exit(code);
}
