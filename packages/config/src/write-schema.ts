/**
 * Writes the JSON Schema of the operators' file: `node packages/config/dist/write-schema.js`.
 */
import { writeFileSync } from 'node:fs';
import { createConfigurationSchema } from './configuration-schema.js';

const SCHEMA_FILE = new URL('../../../examples/figjunction.schema.json', import.meta.url);

writeFileSync(SCHEMA_FILE, `${JSON.stringify(createConfigurationSchema(), null, 2)}\n`);
