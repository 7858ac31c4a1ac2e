/**
 * The JSON Schema of the operators' file, for editors. It cannot express the checks of references.
 */
import { z } from 'zod';
import { operatorConfigurationSchema } from './operator-configuration.js';

export function createConfigurationSchema(): Record<string, unknown> {
  // The input form is what an operator writes: fields with defaults may be left out.
  const schema = z.toJSONSchema(operatorConfigurationSchema, { io: 'input' });
  return { title: 'figjunction configuration', ...schema };
}
