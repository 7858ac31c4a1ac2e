/**
 * An entry that delivers an old revision late: it announces itself to a real entry, names a newer
 * revision, and answers every question for it with the old one.
 */
import { HttpServer } from '@figjunction/http';
import { RpcClient, createRpcRoute } from '@figjunction/rpc';
import { TEST_SHARED_TOKEN } from '@figjunction/test-support';
import { HeartbeatReception, RpcMethod } from '@figjunction/types';
import type { ConfigurationGetResult, EntryDigestParameters } from '@figjunction/types';

/** The most that an entry may claim, so that only the revision can make the agent refuse. */
const CONFIRMED_FOR_MS = 6_000;

const ANNOUNCE_INTERVAL_MS = 200;
const ENTRY_ID = 'late-peer';

export class LatePeer {
  /** How often the old revision was handed out, to entries and to agents. */
  bodiesSent = 0;

  slicesSent = 0;

  private readonly rpc = new RpcClient({ sharedToken: TEST_SHARED_TOKEN });

  private readonly server: HttpServer;

  private timer: NodeJS.Timeout | null = null;

  constructor(
    private readonly entryAddress: string,
    private readonly old: { body: ConfigurationGetResult; slice: ConfigurationGetResult },
    private readonly claimedRevision: number,
  ) {
    this.server = new HttpServer({
      routes: [
        createRpcRoute({
          sharedToken: TEST_SHARED_TOKEN,
          handlers: {
            [RpcMethod.EntryDigest]: () => ({
              entryId: ENTRY_ID,
              incarnation: ENTRY_ID,
              revision: claimedRevision,
            }),
            [RpcMethod.AgentHeartbeat]: () => ({
              entryId: ENTRY_ID,
              reception: HeartbeatReception.Outdated,
              revision: claimedRevision,
              confirmedForMs: CONFIRMED_FOR_MS,
              list: { version: '1', entries: [] },
            }),
            [RpcMethod.ConfigurationGet]: ({ slice }) => this.answer(slice),
          },
        }),
      ],
    });
  }

  async start(): Promise<void> {
    const address = await this.server.listen();
    const digest: EntryDigestParameters = {
      entryId: ENTRY_ID,
      incarnation: ENTRY_ID,
      address,
      location: { region: 'marmara', dataCentre: 'istanbul', rack: 'late' },
      revision: this.claimedRevision,
      demand: [],
    };
    this.timer = setInterval(() => {
      this.rpc.call(this.entryAddress, RpcMethod.EntryDigest, digest).catch(() => {});
    }, ANNOUNCE_INTERVAL_MS);
  }

  async stop(): Promise<void> {
    if (this.timer !== null) {
      clearInterval(this.timer);
    }
    this.rpc.close();
    this.server.closeNow();
    await this.server.close();
  }

  private answer(slice: boolean): ConfigurationGetResult {
    if (slice) {
      this.slicesSent += 1;
      return this.old.slice;
    }
    this.bodiesSent += 1;
    return this.old.body;
  }
}
