/**
 * One Node process that a test started, controlled by its process id only.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { ErrorCode } from '@figjunction/errors';
import { HarnessError } from './wait-until.js';

export interface ProcessSpecification {
  /** For error messages. */
  name: string;
  /** The JavaScript file to run. */
  file: string;
  arguments?: string[];
  environment?: Record<string, string>;
  readyTimeoutMs?: number;
  /** Called with each line of standard output and standard error. */
  onLine?: (line: string) => void;
}

export interface ProcessExit {
  code: number | null;
  signal: NodeJS.Signals | null;
}

const DEFAULT_READY_TIMEOUT_MS = 20_000;
const DEFAULT_STOP_TIMEOUT_MS = 30_000;
const OUTPUT_LINES_MAXIMUM = 2_000;

export class ManagedProcess {
  /** Address from the ready line. */
  address = '';

  /** Newest lines of standard output and standard error. */
  readonly output: string[] = [];

  /** Settles when the process has ended. */
  readonly exited: Promise<ProcessExit>;

  private readonly child: ChildProcess;

  private exit: ProcessExit | null = null;

  /** The address from the ready line. */
  private readonly listening: Promise<string>;

  constructor(readonly specification: ProcessSpecification) {
    const { file, arguments: list = [], environment = {} } = specification;
    this.child = spawn(process.execPath, [file, ...list], {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { ...process.env, ...environment },
    });
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.exit = { code, signal };
        resolve(this.exit);
      });
    });
    this.listening = new Promise((resolve) => {
      this.readLines((line) => {
        const found = addressIn(line);
        if (found !== null) {
          resolve(found);
        }
      });
    });
  }

  get name(): string {
    return this.specification.name;
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  get isRunning(): boolean {
    return this.exit === null && this.child.pid !== undefined;
  }

  /** Waits for the line of JSON that holds the address. */
  async ready(): Promise<void> {
    const { readyTimeoutMs = DEFAULT_READY_TIMEOUT_MS } = this.specification;
    const failure = this.exited.then((exit) => {
      throw this.failure(`ended with ${exit.signal ?? exit.code} before it was ready`);
    });
    this.address = await Promise.race([this.listening, failure, this.timeout(readyTimeoutMs)]);
  }

  signal(signal: NodeJS.Signals): void {
    if (this.isRunning) {
      process.kill(this.pid, signal);
    }
  }

  /** SIGKILL, also to a paused process. */
  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.exited;
  }

  pause(): void {
    this.signal('SIGSTOP');
  }

  continue(): void {
    this.signal('SIGCONT');
  }

  /** SIGTERM; an error when the process does not end in time. */
  async terminate(timeoutMs = DEFAULT_STOP_TIMEOUT_MS): Promise<ProcessExit> {
    this.signal('SIGTERM');
    return Promise.race([this.exited, this.timeout(timeoutMs)]);
  }

  private readLines(onLine: (line: string) => void): void {
    for (const stream of [this.child.stdout, this.child.stderr]) {
      if (stream !== null) {
        createInterface({ input: stream }).on('line', (line) => {
          this.output.push(line);
          if (this.output.length > OUTPUT_LINES_MAXIMUM) {
            this.output.shift();
          }
          this.specification.onLine?.(line);
          onLine(line);
        });
      }
    }
  }

  private timeout(milliseconds: number): Promise<never> {
    return new Promise((_resolve, reject) => {
      const timer = setTimeout(
        () => reject(this.failure(`did not get there within ${milliseconds} ms`)),
        milliseconds,
      );
      timer.unref();
    });
  }

  private failure(what: string): HarnessError {
    const tail = this.output.slice(-20).join('\n');
    return new HarnessError(`process ${this.name} ${what}; its output ends with:\n${tail}`, {
      code: ErrorCode.Unavailable,
    });
  }
}

function addressIn(line: string): string | null {
  if (!line.startsWith('{')) {
    return null;
  }
  try {
    const parsed = JSON.parse(line) as { msg?: string; address?: string };
    return parsed.msg === 'listening' ? (parsed.address ?? null) : null;
  } catch {
    return null;
  }
}
