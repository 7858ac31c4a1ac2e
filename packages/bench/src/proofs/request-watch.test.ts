import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { IncomingMessage } from 'node:http';
import { createInterface } from 'node:readline';
import { after, afterEach, before, test } from 'node:test';
import { HttpClient } from '@figjunction/http';
import { waitUntil } from '@figjunction/test-support';
import { PAIR_TOKEN, RequestPair } from './request-pair.js';
import type { PairAgent, TargetBehaviour } from './pair-agent.js';

const pair = new RequestPair();
const http = new HttpClient();
const open: IncomingMessage[] = [];

/** Sends lines that name the agent, from the cursor on. */
function stream(name: string, padding = ''): TargetBehaviour {
  return (request, response) => {
    const query = new URL(request.url ?? '', 'http://localhost').searchParams;
    let cursor = Number(query.get('cursor') ?? 0);
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    const timer = setInterval(() => {
      cursor += 1;
      response.write(`${JSON.stringify({ cursor, name, padding })}\n`);
    }, 5);
    response.on('close', () => clearInterval(timer));
  };
}

before(async () => {
  await pair.start(2);
  pair.agents.forEach((agent) => {
    agent.target.behaviour = stream(agent.agentId);
  });
});

afterEach(() => {
  open.splice(0).forEach((answer) => answer.destroy());
});

after(() => {
  http.close();
  pair.close();
});

async function watch(cursor: string): Promise<IncomingMessage> {
  const answer = await http.stream(pair.watchUrl(cursor), {
    headers: { authorization: `Bearer ${PAIR_TOKEN}` },
    newConnection: true,
  });
  open.push(answer);
  return answer;
}

interface Line {
  cursor: number;
  name: string;
}

async function collect(answer: IncomingMessage, lines: Line[]): Promise<void> {
  for await (const text of createInterface({ input: answer })) {
    lines.push(JSON.parse(text) as Line);
  }
}

function assertNoGaps(lines: Line[], from: number): void {
  lines.forEach(({ cursor }, index) => assert.equal(cursor, from + index + 1));
}

const INTERRUPTIONS: { name: string; interrupt: (agent: PairAgent) => void }[] = [
  {
    name: 'drains',
    interrupt: (agent) => {
      const [instance] = agent.context.instances.all();
      if (instance !== undefined) {
        instance.draining = true;
      }
      // The watch part looks for drained instances in the tick loop.
      agent.runSystems();
    },
  },
  { name: 'loses its connections', interrupt: (agent) => agent.target.cutConnections() },
];

for (const { name, interrupt } of INTERRUPTIONS) {
  test(`a watch whose target ${name} goes on elsewhere without a gap or a repeated line`, async () => {
    pair.announce();
    const lines: Line[] = [];
    const answer = await watch('100');
    collect(answer, lines).catch(() => {});
    await waitUntil(() => lines.length > 10);
    const first = lines[0]?.name;
    interrupt(pair.agents.find(({ agentId }) => agentId === first) as PairAgent);
    await waitUntil(() => new Set(lines.map((line) => line.name)).size === 2);
    assertNoGaps(lines, 100);
    pair.agents.forEach((agent) =>
      agent.context.instances.all().forEach((one) => {
        one.draining = false;
      }),
    );
  });
}

test('a slow reader slows the target instead of filling memory', async () => {
  pair.announce();
  const padding = 'x'.repeat(200_000);
  let written = 0;
  let blocked = false;
  pair.agents.forEach((agent) => {
    agent.target.behaviour = (_request, response) => {
      response.writeHead(200);
      const fill = async (): Promise<void> => {
        while (!response.destroyed && written < 5_000) {
          written += 1;
          if (!response.write(`${JSON.stringify({ cursor: written, padding })}\n`)) {
            blocked = true;
            await once(response, 'drain').catch(() => {});
            blocked = false;
          }
        }
      };
      response.on('error', () => {});
      fill().catch(() => {});
    };
  });
  const answer = await watch('0');
  answer.pause();
  let lastWritten = -1;
  await waitUntil(
    () => {
      const isStill = blocked && written === lastWritten;
      lastWritten = written;
      return isStill;
    },
    { intervalMs: 300 },
  );
  assert.ok(written < 5_000, `the target wrote ${written} lines to a reader that reads none`);
});
