/**
 * Finds the body of a revision in this process, in the object store or at another entry.
 */
import { RpcMethod, configurationObjectKey } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';

export interface RevisionReference {
  revision: number;
  bodyHash: string;
}

/** Returns null if neither the object store nor another entry has the body. */
export async function findBody(
  context: EntryContext,
  { revision, bodyHash }: RevisionReference,
): Promise<string | null> {
  const inForce = context.configuration.current();
  if (inForce?.bodyHash === bodyHash) {
    return inForce.body;
  }
  if (bodyHash === '') {
    return null;
  }
  const stored = await context.objects.get(configurationObjectKey(bodyHash)).catch(() => null);
  return stored?.toString('utf8') ?? fetchFromPeers(context, { revision, bodyHash });
}

async function fetchFromPeers(
  context: EntryContext,
  { revision, bodyHash }: RevisionReference,
): Promise<string | null> {
  const results = await Promise.all(
    context.peers
      .others()
      .map(({ address }) =>
        context.rpc
          .call(address, RpcMethod.ConfigurationGet, { revision, slice: false })
          .catch(() => null),
      ),
  );
  return results.find((result) => result?.bodyHash === bodyHash)?.body ?? null;
}
