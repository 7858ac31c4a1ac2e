/**
 * A TCP relay between a caller and one address. Its behaviour is switched while connections are open.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server } from 'node:net';
import { RandomSource } from '@figjunction/time';
import { RelayedConnection, Silence } from './relayed-connection.js';
import type { RelayConditions } from './relayed-connection.js';

export interface TcpRelayOptions {
  /** `http://<ip>:<port>` of the other side. */
  targetAddress: string;
  host?: string;
  port?: number;
  seed?: number;
}

export interface SilenceOptions {
  silence?: Silence;
  /** Share of the open connections, 0 to 1. */
  share?: number;
}

export class TcpRelay {
  address = '';

  readonly conditions: RelayConditions = {
    delayMs: 0,
    answerDelayMinimumMs: 0,
    answerDelayMaximumMs: 0,
  };

  bytesToTarget = 0;

  bytesFromTarget = 0;

  private isCut = false;

  private silencesNew = false;

  private readonly silencedSources = new Set<string>();

  private readonly server: Server;

  private readonly random: RandomSource;

  private readonly connections = new Set<RelayedConnection>();

  constructor(private readonly options: TcpRelayOptions) {
    this.random = new RandomSource(options.seed ?? 1);
    this.server = createServer({ allowHalfOpen: true }, (caller) => {
      if (this.isCut) {
        caller.destroy();
        return;
      }
      const { hostname, port } = new URL(options.targetAddress);
      const target = connect({ host: hostname, port: Number(port), allowHalfOpen: true });
      const connection = new RelayedConnection({
        caller,
        target,
        conditions: this.conditions,
        random: this.random,
        onBytes: (toTarget, fromTarget) => {
          this.bytesToTarget += toTarget;
          this.bytesFromTarget += fromTarget;
        },
        onClose: () => this.connections.delete(connection),
      });
      if (this.silencesNew || this.silencedSources.has(connection.sourceAddress)) {
        connection.silence = Silence.Both;
      }
      this.connections.add(connection);
    });
  }

  listen(): Promise<string> {
    const { host = '127.0.0.1', port = 0 } = this.options;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        const { address, port: bound } = this.server.address() as AddressInfo;
        this.address = `http://${address}:${bound}`;
        resolve(this.address);
      });
    });
  }

  get openConnections(): number {
    return this.connections.size;
  }

  /** Silent connections that their callers still keep open. */
  get heldSilentConnections(): number {
    return [...this.connections].filter((one) => one.isSilent && one.isHeldByCaller).length;
  }

  /** Closes every connection and refuses new ones. */
  cut(): void {
    this.isCut = true;
    this.closeConnections();
  }

  /** Closes every connection once; new ones work. */
  reset(): void {
    this.closeConnections();
  }

  /** Bytes on open connections vanish from now on and nothing closes; new connections work. */
  silenceOpen({ silence = Silence.Both, share = 1 }: SilenceOptions = {}): void {
    for (const connection of this.connections) {
      if (this.random.fraction() < share) {
        connection.silence = silence;
      }
    }
  }

  /** Bytes on open and new connections vanish, as when a link drops packets. */
  silenceAll(): void {
    this.silencesNew = true;
    this.silenceOpen();
  }

  /** As `silenceAll`, only for callers whose connections come from an address. */
  silenceFrom(sourceAddress: string): void {
    this.silencedSources.add(sourceAddress);
    for (const connection of this.connections) {
      if (connection.sourceAddress === sourceAddress) {
        connection.silence = Silence.Both;
      }
    }
  }

  /** Delays bytes in both directions. */
  delay(milliseconds: number): void {
    this.conditions.delayMs = milliseconds;
  }

  /**
   * Delays the answers of each connection by its own random time, so that answers on several connections
   * arrive in another order than they were sent in.
   */
  reorderAnswers(minimumMs: number, maximumMs: number): void {
    this.conditions.answerDelayMinimumMs = minimumMs;
    this.conditions.answerDelayMaximumMs = maximumMs;
  }

  /** Back to normal. Connections that were silenced stay silent. */
  restore(): void {
    this.isCut = false;
    this.silencesNew = false;
    this.silencedSources.clear();
    this.delay(0);
    this.reorderAnswers(0, 0);
  }

  async close(): Promise<void> {
    this.cut();
    await new Promise<void>((resolve) => {
      this.server.close(() => resolve());
    });
  }

  private closeConnections(): void {
    for (const connection of [...this.connections]) {
      connection.destroy();
    }
  }
}
