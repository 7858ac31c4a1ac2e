/**
 * Ports for processes whose address must be known before they start.
 */
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

/** A port that is free now, chosen by the system. */
export function findFreePort(host = '127.0.0.1'): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
