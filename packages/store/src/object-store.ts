/**
 * Interface of the platform's object store. An object is either only rewritten with the same content, or
 * replaced as a whole.
 */
export abstract class ObjectStore {
  /** Creates or replaces the object. */
  abstract put(key: string, body: Buffer): Promise<void>;

  /** Returns the object's content, or null when the key does not exist. */
  abstract get(key: string): Promise<Buffer | null>;

  /** Deletes the object; succeeds when the key does not exist. */
  abstract remove(key: string): Promise<void>;
}
