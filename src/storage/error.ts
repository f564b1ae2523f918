/** Errors of storage.
 * @module */

/** What went wrong with the data folder. */
export type StorageFault = "locked" | "failed" | "crashed";

/** A file could not be read, written or synced. */
export class StorageError extends Error {
  override readonly name = "StorageError";
  readonly kind: StorageFault;

  constructor(kind: StorageFault, message: string, options?: ErrorOptions) {
    super(message, options);
    this.kind = kind;
  }
}
