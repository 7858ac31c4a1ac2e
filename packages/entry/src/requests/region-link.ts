/**
 * Limits the bytes that this entry sends and receives over the link between regions to its share of the
 * configured limit.
 */
import { TokenBucket } from '@figjunction/decisions';
import type { EntryContext } from '../entry-context.js';

/** Approximate growth of a body in JSON and base64. */
const ENCODING_FACTOR = 4 / 3;

export class RegionLink {
  private readonly bucket = new TokenBucket();

  private readonly remoteAddresses = new Set<string>();

  constructor(private readonly context: EntryContext) {
    const { rpc } = context;
    const previousHandler = rpc.onTraffic;
    rpc.onTraffic = (address, sentBytes, receivedBytes) => {
      previousHandler(address, sentBytes, receivedBytes);
      if (this.remoteAddresses.has(address)) {
        this.recordBytes(sentBytes, receivedBytes);
      }
    };
  }

  /** Whether the limit permits a request with a body of this size now. */
  hasCapacity(bodyBytes: number): boolean {
    const rate = this.getBytesPerSecondLimit();
    const now = this.context.clock.now();
    // Does not charge the bytes: the actual traffic is charged when it is measured.
    return this.bucket.hasTokens(now, rate, rate, bodyBytes * ENCODING_FACTOR);
  }

  /** Registers an address whose calls cross the link. */
  addRemoteAddress(address: string): void {
    this.remoteAddresses.add(address);
  }

  /** Charges the received bytes of a stream if its agent is in another region. */
  recordStreamBytes(address: string, receivedBytes: number): void {
    if (this.remoteAddresses.has(address)) {
      this.recordBytes(0, receivedBytes);
    }
  }

  private recordBytes(sentBytes: number, receivedBytes: number): void {
    const rate = this.getBytesPerSecondLimit();
    this.bucket.charge(this.context.clock.now(), rate, rate, sentBytes + receivedBytes);
    this.context.metrics.count('region_link_bytes_total', { direction: 'sent' }, sentBytes);
    this.context.metrics.count('region_link_bytes_total', { direction: 'received' }, receivedBytes);
  }

  /** The limit of the region, divided evenly between its live entries. */
  private getBytesPerSecondLimit(): number {
    const { region } = this.context.settings.location;
    const regionEntries = this.context.peers
      .live()
      .filter(({ location }) => location.region === region);
    const limit =
      this.context.configuration.current()?.configuration.interRegionBytesPerSecond ?? 0;
    return limit / Math.max(1, regionEntries.length);
  }
}
