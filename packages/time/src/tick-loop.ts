/**
 * The one loop of a process: runs its systems in order, one tick after the other, never two at once.
 */
import { toError } from '@figjunction/errors';
import type { Clock, Instant } from './clock.js';

export interface TickSystem {
  name: string;
  /** Runs when at least this many milliseconds have passed since its last start. */
  intervalMs: number;
  run(now: Instant): Promise<void> | void;
}

export interface TickLoopOptions {
  clock: Clock;
  systems: TickSystem[];
  tickMs?: number;
  onError?: (system: string, error: Error) => void;
}

const DEFAULT_TICK_MS = 50;

export class TickLoop {
  private readonly clock: Clock;

  private readonly systems: { system: TickSystem; nextStart: Instant }[];

  private readonly tickMs: number;

  private readonly onError: (system: string, error: Error) => void;

  private timer: NodeJS.Timeout | null = null;

  private current: Promise<void> = Promise.resolve();

  private stopped = false;

  constructor(options: TickLoopOptions) {
    const { clock, systems, tickMs = DEFAULT_TICK_MS, onError = () => {} } = options;
    this.clock = clock;
    this.tickMs = tickMs;
    this.onError = onError;
    this.systems = systems.map((system) => ({ system, nextStart: clock.now() }));
  }

  start(): void {
    this.schedule(0);
  }

  /** Ends after the tick that is running. */
  async stop(): Promise<void> {
    this.stopped = true;
    if (this.timer !== null) {
      clearTimeout(this.timer);
    }
    await this.current;
  }

  /** Runs every system that is due once. */
  async tick(): Promise<void> {
    for (const entry of this.systems) {
      const now = this.clock.now();
      if (now >= entry.nextStart) {
        entry.nextStart = now + entry.system.intervalMs;
        await this.runSystem(entry.system, now);
      }
    }
  }

  private async runSystem(system: TickSystem, now: Instant): Promise<void> {
    try {
      await system.run(now);
    } catch (error) {
      this.onError(system.name, toError(error));
    }
  }

  private schedule(delayMs: number): void {
    if (this.stopped) {
      return;
    }
    this.timer = setTimeout(() => {
      this.current = this.tick().then(() => this.schedule(this.tickMs));
    }, delayMs);
  }
}
