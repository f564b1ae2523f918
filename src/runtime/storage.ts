/** Durable files as the core sees them: nothing counts before it is synced.
 * @module */

/** Files under one data folder. */
export interface Storage {
  /** Whole content, or undefined when there is no such file. */
  read(name: string): Promise<Uint8Array | undefined>;
  /** Appends; resolves once the bytes are synced. */
  append(name: string, bytes: Uint8Array): Promise<void>;
  /** Replaces the whole file at once; resolves once it is synced. */
  replace(name: string, bytes: Uint8Array): Promise<void>;
  /** Cuts the file to `length` bytes; resolves once it is synced. */
  truncate(name: string, length: number): Promise<void>;
  /** Removes the file if it is there; resolves once that is synced. */
  remove(name: string): Promise<void>;
  /** Names of all files. */
  list(): Promise<readonly string[]>;
}
