/**
 * Preloaded into one process of a proof: from the moment a file exists, the process has no connection to
 * one port, as if the network between the two were cut. Its other connections stay.
 */
import { existsSync } from 'node:fs';
import { Socket } from 'node:net';

export const CUT_PORT_VARIABLE = 'FIGJUNCTION_PROOF_CUT_PORT';
export const CUT_FILE_VARIABLE = 'FIGJUNCTION_PROOF_CUT_FILE';

const CHECK_INTERVAL_MS = 50;

const port = Number(process.env[CUT_PORT_VARIABLE] ?? 0);
const file = process.env[CUT_FILE_VARIABLE] ?? '';

if (port !== 0) {
  installCut();
}

function installCut(): void {
  const sockets = new Set<Socket>();
  const connect = Socket.prototype.connect as (this: Socket, ...options: unknown[]) => Socket;
  Socket.prototype.connect = function connectUnlessCut(this: Socket, ...options: unknown[]) {
    if (portOf(options) === port) {
      sockets.add(this);
      this.once('close', () => sockets.delete(this));
      if (existsSync(file)) {
        setImmediate(() => this.destroy(new Error('the connection is cut')));
        return this;
      }
    }
    return connect.apply(this, options);
  };
  setInterval(() => {
    if (existsSync(file)) {
      sockets.forEach((socket) => socket.destroy(new Error('the connection is cut')));
    }
  }, CHECK_INTERVAL_MS).unref();
}

/** Node passes its normalised arguments as one array whose first item holds the options. */
function portOf(options: unknown[]): number {
  const [first] = options.flat() as { port?: number | string }[];
  return Number(first?.port ?? 0);
}
