/**
 * A fake entry with canned answers and a terminal that keeps what the client writes. It holds no tests
 * itself.
 */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { HttpServer, readJson, sendJson } from '@figjunction/http';
import type { ExitCode } from './exit-code.js';
import { runClient } from './run-client.js';
import { Terminal } from './terminal.js';

const LOCATION = { region: 'marmara', dataCentre: 'istanbul', rack: 'r1' };
const BODY_BYTES_MAXIMUM = 10_000_000;

export const VALID_FILE =
  '{"urgencyClasses": [{"name": "now", "rank": 0, "guaranteedShare": 0.5}], "approvedProposals": []}';

/** Keeps what the client writes and answers its questions. */
export class TestTerminal extends Terminal {
  output = '';

  errors = '';

  constructor(private readonly answer: string | null = null) {
    super();
  }

  override print(text: string): void {
    this.output += `${text}\n`;
  }

  override report(text: string): void {
    this.errors += `${text}\n`;
  }

  override progress(): void {}

  override isInteractive(): boolean {
    return this.answer !== null;
  }

  override ask(): Promise<string> {
    return Promise.resolve(this.answer ?? '');
  }

  override readInput(): Promise<string> {
    return Promise.resolve(VALID_FILE);
  }
}

export interface CannedAnswer {
  status: number;
  body: unknown;
}

export interface ClientResult {
  exitCode: ExitCode;
  output: string;
  errors: string;
}

export function statusWith(agents: { revision: number; confirmed: boolean }[]): unknown {
  const entry = { entryId: 'entry-1', address: '', location: LOCATION, waitingFor: [] };
  return {
    answeredBy: 'entry-1',
    revision: 7,
    entries: [{ ...entry, revision: 7, confirmed: true }],
    agents: agents.map((agent, index) => ({ agentId: `vm-${index + 1}`, ...agent })),
    absent: [{ name: 'vm-9', revision: 6, silentMs: 40_000 }],
  };
}

/** A fake entry, a folder with files, and runs of the client against them. */
export class ClientFixture {
  /** Answers by method and path. */
  readonly answers: Record<string, CannedAnswer> = {
    'POST /v1/configuration/plan': {
      status: 200,
      body: { currentRevision: 6, differences: [], warnings: ['locked out'] },
    },
    'POST /v1/configuration': { status: 200, body: { revision: 7 } },
    'GET /v1/status': { status: 200, body: statusWith([{ revision: 7, confirmed: true }]) },
  };

  readonly received: { call: string; body: unknown }[] = [];

  address = '';

  private readonly folder = mkdtempSync(path.join(tmpdir(), 'figjunction-client-'));

  /** A file that is valid. */
  readonly file = this.write('file.jsonc', VALID_FILE);

  private readonly server = new HttpServer({
    routes: ['GET', 'POST', 'DELETE'].map((method) => ({
      method,
      pattern: /^(?<path>.*)$/u,
      handle: async ({ request, response, parameters }): Promise<void> => {
        const call = `${method} ${parameters.path}`;
        const body = method === 'POST' ? await readJson(request, BODY_BYTES_MAXIMUM) : null;
        this.received.push({ call, body });
        const notFound = { status: 404, body: { code: 'not-found', message: call } };
        const answer = this.answers[call] ?? notFound;
        sendJson(response, answer.status, answer.body);
      },
    })),
  });

  async start(): Promise<void> {
    this.address = await this.server.listen();
  }

  async stop(): Promise<void> {
    this.server.closeNow();
    await this.server.close();
    rmSync(this.folder, { recursive: true });
  }

  /** Writes a file and returns its path. */
  write(name: string, text: string): string {
    const file = path.join(this.folder, name);
    writeFileSync(file, text);
    return file;
  }

  async run(
    commandLine: string[],
    { terminal = new TestTerminal(), addresses = this.address, token = 'token' } = {},
  ): Promise<ClientResult> {
    const environment = { FIGJUNCTION_ADDRESS: addresses, FIGJUNCTION_TOKEN: token };
    const exitCode = await runClient(commandLine, { terminal, environment });
    return { exitCode, output: terminal.output, errors: terminal.errors };
  }
}
