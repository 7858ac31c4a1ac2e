/**
 * Test fixture: an event log that keeps its events in memory and writes no lines.
 */
import { pino } from 'pino';
import { EventLog } from './event-log.js';

export class RecordingEventLog extends EventLog {
  private readonly written: { event: string; fields: Record<string, unknown> }[] = [];

  constructor() {
    super({ logger: pino({ level: 'silent' }), now: () => 0 });
  }

  override write(event: string, fields: Record<string, unknown>): void {
    this.written.push({ event, fields });
  }

  /** Returns the fields of each event with this name, in the order of writing. */
  fieldsOf(event: string): Record<string, unknown>[] {
    return this.written.filter((entry) => entry.event === event).map(({ fields }) => fields);
  }
}
