/**
 * Bytes that this entry moves over the link between regions, in both directions, against its part of the
 * cap.
 */
import { TokenBucket } from '@figjunction/decisions';
import type { EntryContext } from '../entry-context.js';

/** JSON and base64 make a body about this much longer. */
const ENCODING_FACTOR = 4 / 3;

export class RegionLink {
  private readonly bucket = new TokenBucket();

  private readonly remoteAddresses = new Set<string>();

  constructor(private readonly context: EntryContext) {
    const { rpc } = context;
    const next = rpc.onTraffic;
    rpc.onTraffic = (address, sentBytes, receivedBytes) => {
      next(address, sentBytes, receivedBytes);
      if (this.remoteAddresses.has(address)) {
        this.count(sentBytes, receivedBytes);
      }
    };
  }

  /** Whether the cap leaves room for a request with a body of this size. */
  hasRoom(bodyBytes: number): boolean {
    const rate = this.bytesPerSecond();
    const now = this.context.clock.now();
    // Nothing is taken here: the traffic itself is charged when it is known.
    return this.bucket.has(now, rate, rate, bodyBytes * ENCODING_FACTOR);
  }

  /** Notes that calls to an address cross the link. */
  watchAddress(address: string): void {
    this.remoteAddresses.add(address);
  }

  /** Counts bytes of a stream from an agent, if it is in another region. */
  countStream(address: string, receivedBytes: number): void {
    if (this.remoteAddresses.has(address)) {
      this.count(0, receivedBytes);
    }
  }

  private count(sentBytes: number, receivedBytes: number): void {
    const rate = this.bytesPerSecond();
    this.bucket.charge(this.context.clock.now(), rate, rate, sentBytes + receivedBytes);
    this.context.metrics.count('region_link_bytes_total', { direction: 'sent' }, sentBytes);
    this.context.metrics.count('region_link_bytes_total', { direction: 'received' }, receivedBytes);
  }

  /** The cap of the region, divided evenly between its entries. */
  private bytesPerSecond(): number {
    const { region } = this.context.settings.location;
    const entries = this.context.peers.live().filter(({ location }) => location.region === region);
    const cap = this.context.configuration.current()?.configuration.interRegionBytesPerSecond ?? 0;
    return cap / Math.max(1, entries.length);
  }
}
