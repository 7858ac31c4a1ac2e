/**
 * One connection through the relay: two sockets and the conditions between them.
 */
import type { Socket } from 'node:net';
import { SystemClock, sleep } from '@figjunction/time';
import type { RandomSource } from '@figjunction/time';

/** Which bytes of a connection vanish while nothing closes. */
export enum Silence {
  None = 'none',
  ToTarget = 'to-target',
  FromTarget = 'from-target',
  Both = 'both',
}

export interface RelayConditions {
  /** Delay of bytes in either direction. */
  delayMs: number;
  /** Range of the extra delay of each batch of bytes from the target. */
  answerDelayMinimumMs: number;
  answerDelayMaximumMs: number;
}

export interface RelayedConnectionOptions {
  caller: Socket;
  target: Socket;
  conditions: RelayConditions;
  random: RandomSource;
  onBytes(toTarget: number, fromTarget: number): void;
  onClose(): void;
}

/** One of the two directions of a connection. */
interface Direction {
  /** The silence that stops it alone. */
  silence: Silence;
  count: (bytes: number) => void;
  nextDelayMs: () => number;
}

const clock = new SystemClock();

export class RelayedConnection {
  silence = Silence.None;

  private openSockets = 2;

  constructor(private readonly options: RelayedConnectionOptions) {
    const { caller, target, onBytes } = options;
    this.join(caller, target, {
      silence: Silence.ToTarget,
      count: (bytes) => onBytes(bytes, 0),
      nextDelayMs: () => this.delayMs(),
    });
    this.join(target, caller, {
      silence: Silence.FromTarget,
      count: (bytes) => onBytes(0, bytes),
      nextDelayMs: () => this.answerDelayMs(),
    });
  }

  get isSilent(): boolean {
    return this.silence !== Silence.None;
  }

  /** Address that the caller's connection comes from. */
  get sourceAddress(): string {
    return this.options.caller.remoteAddress ?? '';
  }

  /** Whether the caller has not closed its side. */
  get isHeldByCaller(): boolean {
    const { caller } = this.options;
    return !caller.destroyed && !caller.readableEnded;
  }

  destroy(): void {
    this.options.caller.destroy();
    this.options.target.destroy();
  }

  private delayMs(): number {
    return this.options.conditions.delayMs;
  }

  private answerDelayMs(): number {
    const { answerDelayMinimumMs, answerDelayMaximumMs } = this.options.conditions;
    const extra = (answerDelayMaximumMs - answerDelayMinimumMs) * this.options.random.fraction();
    return this.delayMs() + answerDelayMinimumMs + extra;
  }

  /** Forwards bytes of one direction in order, each after its delay. */
  private join(from: Socket, to: Socket, direction: Direction): void {
    const { silence, count, nextDelayMs } = direction;
    const isSilent = (): boolean => this.silence === Silence.Both || this.silence === silence;
    let previous = Promise.resolve();
    const later = (act: () => void): void => {
      const delayMs = nextDelayMs();
      const due = clock.now() + delayMs;
      previous = previous.then(async () => {
        const remaining = due - clock.now();
        if (delayMs > 0 && remaining > 0) {
          await sleep(remaining);
        }
        if (!isSilent()) {
          act();
        }
      });
    };
    from.setNoDelay(true);
    from.on('data', (chunk: Buffer) => {
      if (!isSilent()) {
        count(chunk.length);
        later(() => to.writable && to.write(chunk));
      }
    });
    from.on('end', () => later(() => to.end()));
    from.on('error', () => later(() => to.destroy()));
    from.on('close', () => this.onSocketClose(() => later(() => to.end())));
  }

  private onSocketClose(endOther: () => void): void {
    this.openSockets -= 1;
    endOther();
    if (this.openSockets === 0) {
      this.options.onClose();
    }
  }
}
