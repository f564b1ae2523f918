/** Interface of durable storage: a write is complete only once it is synced.
 * @module */

/** Files in a data directory. */
export interface Storage {
  /** Returns the content of a file; undefined if it does not exist. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Appends to a file; resolves once the bytes are synced. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Replaces a file atomically; resolves once it is synced. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Truncates a file to `length` bytes; resolves once it is synced. */
  truncate(name: string, length: number): Promise<void>;
  /** Syncs what a file holds: a process that was killed may have left writes that
   * a loss of power would undo. */
  syncFile(name: string): Promise<void>;
  /** Removes a file if it exists; resolves once the removal is synced. */
  remove(name: string): Promise<void>;
  /** Returns the names of all files. */
  list(): Promise<readonly string[]>;
}

/** Opens a storage. */
export type OpenStorage = () => Promise<Storage>;
