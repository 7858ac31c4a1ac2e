/**
 * Finds the text of a revision: here, in the object store, or at another entry.
 */
import { RpcMethod, configurationObjectKey } from '@figjunction/types';
import type { EntryContext } from '../entry-context.js';

export interface RevisionReference {
  revision: number;
  bodyHash: string;
}

/** Null when neither the object store nor another entry has the text. */
export async function readBodyOf(
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
  return stored?.toString('utf8') ?? askPeers(context, { revision, bodyHash });
}

async function askPeers(
  context: EntryContext,
  { revision, bodyHash }: RevisionReference,
): Promise<string | null> {
  const answers = await Promise.all(
    context.peers
      .others()
      .map(({ address }) =>
        context.rpc
          .call(address, RpcMethod.ConfigurationGet, { revision, slice: false })
          .catch(() => null),
      ),
  );
  return answers.find((answer) => answer?.bodyHash === bodyHash)?.body ?? null;
}
