/**
 * Where the client reads and writes: results on standard output, everything else on standard error.
 */
import { createInterface } from 'node:readline/promises';

export abstract class Terminal {
  /** Results. */
  abstract print(text: string): void;

  /** Errors, progress and questions. */
  abstract report(text: string): void;

  /** Replaces the last progress; an empty text ends it. */
  abstract progress(text: string): void;

  /** Whether a person can answer a question. */
  abstract isInteractive(): boolean;

  abstract ask(question: string): Promise<string>;

  abstract readInput(): Promise<string>;
}

const CLEAR_LINE = '\r\u001b[K';

export class ProcessTerminal extends Terminal {
  private lastProgress = '';

  override print(text: string): void {
    process.stdout.write(`${text}\n`);
  }

  override report(text: string): void {
    process.stderr.write(`${text}\n`);
  }

  override progress(text: string): void {
    if (text === this.lastProgress) {
      return;
    }
    this.lastProgress = text;
    if (process.stderr.isTTY) {
      process.stderr.write(`${CLEAR_LINE}${text}`);
    } else if (text !== '') {
      this.report(text);
    }
  }

  override isInteractive(): boolean {
    return process.stdin.isTTY && process.stderr.isTTY;
  }

  override async ask(question: string): Promise<string> {
    const reader = createInterface({ input: process.stdin, output: process.stderr });
    try {
      return await reader.question(question);
    } finally {
      reader.close();
    }
  }

  override async readInput(): Promise<string> {
    const chunks: Buffer[] = [];
    for await (const chunk of process.stdin) {
      chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks).toString('utf8');
  }
}
