/**
 * Ports for processes whose address must be known before they start. They lie below the range from which
 * the system takes the ports of outgoing connections; otherwise a connection of another process takes a
 * port between its choice and its use, and again while its owner restarts.
 */
import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { HarnessError } from './wait-until.js';

const LOWEST_PORT = 15_000;
const HIGHEST_PORT = 32_000;
const ATTEMPTS_MAXIMUM = 50;

/** A port that is held by a listener until its user starts. */
export class PortReservation {
  private released: Promise<void> | null = null;

  constructor(
    readonly port: number,
    private readonly server: Server,
  ) {}

  /** Frees the port for its user; further calls change nothing. */
  release(): Promise<void> {
    this.released ??= new Promise((resolve) => {
      this.server.close(() => resolve());
    });
    return this.released;
  }
}

export async function reservePort(host = '127.0.0.1'): Promise<PortReservation> {
  for (let attempt = 0; attempt < ATTEMPTS_MAXIMUM; attempt += 1) {
    const port = randomInt(LOWEST_PORT, HIGHEST_PORT);
    const server = await listenOn(port, host);
    if (server !== null) {
      return new PortReservation(port, server);
    }
  }
  throw new HarnessError(`no free port in ${ATTEMPTS_MAXIMUM} attempts`);
}

/** A port that is free now. */
export async function findFreePort(host = '127.0.0.1'): Promise<number> {
  const reservation = await reservePort(host);
  await reservation.release();
  return reservation.port;
}

/** Null when the port is taken. */
function listenOn(port: number, host: string): Promise<Server | null> {
  return new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(null));
    server.listen(port, host, () => resolve(server));
  });
}
