/**
 * What the quickstart shows, with the commands of the client that an operator would type.
 */
import { fileURLToPath } from 'node:url';
import { ExitCode, ProcessTerminal, runClient } from '@figjunction/client';
import { RequestOutcome } from '@figjunction/types';
import { TEST_SHARED_TOKEN, countReadyInstances, waitUntil } from '@figjunction/test-support';
import type { Cluster } from '@figjunction/test-support';

export const OPERATOR_TOKEN = 'karaca-operator-sample-token';
export const KITCHEN_TOKEN = 'grand-hotel-sample-token';
export const BANQUET_TOKEN = 'banquet-house-sample-token';

const EXAMPLES = fileURLToPath(new URL('../../../../examples', import.meta.url));
const DISHES = ['hünkar beğendi', 'mercimek çorbası', 'fıstıklı baklava'];
const READY_TIMEOUT_MS = 30_000;
const RUN_ID = 'banquet-house.overnight-menus.wedding';

export class Tour {
  constructor(private readonly cluster: Cluster) {}

  async run(): Promise<void> {
    await this.figjunction(['apply', 'karaca.jsonc', '--yes'], TEST_SHARED_TOKEN);
    await this.waitForInstances();
    for (const [index, dish] of DISHES.entries()) {
      await this.requestLabel(index, dish);
    }
    await this.figjunction(['submit', 'overnight-menus.jsonc', '--wait'], BANQUET_TOKEN);
    await this.figjunction(['status'], OPERATOR_TOKEN);
    await this.figjunction(['explain', 'run', RUN_ID], BANQUET_TOKEN);
  }

  /** Prints a command and runs the client in this process. */
  private async figjunction(words: string[], token: string): Promise<void> {
    console.log(`\n$ figjunction ${words.map(showExample).join(' ')}`);
    const exitCode = await runClient(words.map(locateExample), {
      terminal: new ProcessTerminal(),
      environment: {
        FIGJUNCTION_ADDRESS: this.cluster.entries.map(({ address }) => address).join(','),
        FIGJUNCTION_TOKEN: token,
      },
    });
    if (exitCode !== ExitCode.Success) {
      throw new Error(`figjunction ${words[0]} ended with code ${exitCode}`);
    }
  }

  /** One label instance runs on each VM; the example declares 11, for as many VMs. */
  private async waitForInstances(): Promise<void> {
    const wanted = this.cluster.agents.length;
    const client = this.cluster.entryClient();
    await waitUntil(
      async () => {
        const ready = countReadyInstances(await client.readStatus(OPERATOR_TOKEN));
        return ready >= wanted ? true : null;
      },
      { what: `${wanted} label instances are ready`, timeoutMs: READY_TIMEOUT_MS },
    );
    console.log(
      `\n${wanted} of 11 label instances run: one on each VM; the others wait for more VMs`,
    );
  }

  private async requestLabel(index: number, dish: string): Promise<void> {
    const client = this.cluster.entryClient(index % this.cluster.entries.length);
    const body = JSON.stringify({ dish });
    console.log(`\nPOST ${client.address}/v1/services/label/requests ${body}`);
    const answer = await client.request({ service: 'label', body, token: KITCHEN_TOKEN });
    console.log(`${answer.status} ${answer.outcome}: ${answer.body.toString('utf8')}`);
    if (answer.outcome !== RequestOutcome.Completed) {
      throw new Error(`the label for ${dish} was not printed`);
    }
  }
}

function isExample(word: string): boolean {
  return word.endsWith('.jsonc');
}

function showExample(word: string): string {
  return isExample(word) ? `examples/${word}` : word;
}

/** The quickstart may be started from any folder. */
function locateExample(word: string): string {
  return isExample(word) ? `${EXAMPLES}/${word}` : word;
}
