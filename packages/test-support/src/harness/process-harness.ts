/**
 * Owns the processes and folders of a test and removes them at its end, on Ctrl-C and on failure.
 */
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { ManagedProcess } from './managed-process.js';
import type { ProcessSpecification } from './managed-process.js';

const SIGNAL_EXIT_CODE = 130;
const ENDING_SIGNALS: NodeJS.Signals[] = ['SIGINT', 'SIGTERM', 'SIGHUP'];

export class ProcessHarness {
  private readonly processes = new Set<ManagedProcess>();

  private readonly folders: string[] = [];

  private readonly closers: (() => Promise<void>)[] = [];

  private readonly onExit = (): void => this.killAll();

  private readonly onSignal = (): void => process.exit(SIGNAL_EXIT_CODE);

  constructor() {
    process.once('exit', this.onExit);
    for (const signal of ENDING_SIGNALS) {
      process.once(signal, this.onSignal);
    }
  }

  /** Starts a process and waits until it listens. */
  async start(specification: ProcessSpecification): Promise<ManagedProcess> {
    const started = this.launch(specification);
    await started.ready();
    return started;
  }

  /** Starts a process that does not print its address. */
  launch(specification: ProcessSpecification): ManagedProcess {
    const started = new ManagedProcess(specification);
    this.processes.add(started);
    started.exited.then(
      () => this.processes.delete(started),
      () => {},
    );
    return started;
  }

  createFolder(): string {
    const folder = mkdtempSync(path.join(tmpdir(), 'figjunction-'));
    this.folders.push(folder);
    return folder;
  }

  /** Something else to close at the end, for example a relay. */
  onClose(closer: () => Promise<void>): void {
    this.closers.push(closer);
  }

  /** Kills what still runs. */
  async close(): Promise<void> {
    const remaining = [...this.processes];
    this.killAll();
    await Promise.all(remaining.map((one) => one.exited));
    await Promise.all(this.closers.map((closer) => closer()));
    process.off('exit', this.onExit);
    for (const signal of ENDING_SIGNALS) {
      process.off(signal, this.onSignal);
    }
  }

  private killAll(): void {
    for (const one of this.processes) {
      one.signal('SIGKILL');
    }
    for (const folder of this.folders) {
      rmSync(folder, { recursive: true, force: true });
    }
  }
}
