/**
 * Builds an entry from its settings and runs it until it is told to stop.
 */
import { loadEntrySettings } from '@figjunction/config';
import { createEntryContext, startEntry } from '@figjunction/entry';
import { createLogger } from '@figjunction/logger';
import { HttpObjectStore, HttpTableService } from '@figjunction/store';
import { runProcess, sourcesOf } from './run-process.js';
import type { Flags } from './run-process.js';

export async function runEntry(flags: Flags): Promise<void> {
  const settings = loadEntrySettings(sourcesOf(flags));
  const logger = createLogger({ name: settings.entryId, level: settings.logLevel });
  const address = settings.platformAddress;
  await runProcess({
    logger,
    tracesEndpoint: settings.tracesEndpoint,
    start: () =>
      startEntry(
        createEntryContext({
          settings,
          logger,
          table: new HttpTableService({ address }),
          objects: new HttpObjectStore({ address }),
        }),
      ),
  });
}
