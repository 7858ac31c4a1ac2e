/**
 * Preloaded into the processes of a cluster with relays: their outgoing connections come from an address of
 * their region, as those of VMs in different networks do. Relays tell callers apart by it.
 */
import { Socket } from 'node:net';

export const SOURCE_ADDRESS_VARIABLE = 'FIGJUNCTION_TEST_SOURCE_ADDRESS';

const sourceAddress = process.env[SOURCE_ADDRESS_VARIABLE];

if (sourceAddress !== undefined) {
  bindConnectionsTo(sourceAddress);
}

function bindConnectionsTo(localAddress: string): void {
  const connect = Socket.prototype.connect as (this: Socket, ...list: unknown[]) => Socket;
  Socket.prototype.connect = function connectFrom(this: Socket, ...list: unknown[]) {
    // Node passes its normalised arguments as one array: the options and a listener. The options are copied,
    // because the pool of an HTTP client finds its connections by the options it passed in.
    const [options, listener] = list.flat() as [object, unknown];
    return connect.call(this, { ...options, localAddress }, listener);
  };
}
