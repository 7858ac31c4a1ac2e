/**
 * The platform's object store. Keys are written once with the same content, or overwritten whole.
 */
export abstract class ObjectStore {
  abstract put(key: string, body: Buffer): Promise<void>;

  /** Null when the key does not exist. */
  abstract get(key: string): Promise<Buffer | null>;

  abstract remove(key: string): Promise<void>;
}
