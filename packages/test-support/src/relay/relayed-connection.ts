/**
 * One connection through the relay: two sockets and the conditions between them.
 */
import type { Socket } from 'node:net';
import { SystemClock, sleep } from '@figjunction/time';
import type { RandomSource } from '@figjunction/time';

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

const clock = new SystemClock();

export class RelayedConnection {
  /** Bytes vanish and nothing closes. */
  isSilent = false;

  private openSockets = 2;

  constructor(private readonly options: RelayedConnectionOptions) {
    const { caller, target, onBytes } = options;
    this.join(
      caller,
      target,
      (bytes) => onBytes(bytes, 0),
      () => this.delayMs(),
    );
    this.join(
      target,
      caller,
      (bytes) => onBytes(0, bytes),
      () => this.answerDelayMs(),
    );
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
  private join(
    from: Socket,
    to: Socket,
    count: (bytes: number) => void,
    nextDelayMs: () => number,
  ): void {
    let previous = Promise.resolve();
    const later = (act: () => void): void => {
      const delayMs = nextDelayMs();
      const due = clock.now() + delayMs;
      previous = previous.then(async () => {
        const remaining = due - clock.now();
        if (delayMs > 0 && remaining > 0) {
          await sleep(remaining);
        }
        if (!this.isSilent) {
          act();
        }
      });
    };
    from.setNoDelay(true);
    from.on('data', (chunk: Buffer) => {
      if (!this.isSilent) {
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
