/** Errors of the storage of a data folder.
 * @module */

/** Kind of a storage failure. `crashed` occurs only in the in-memory fake. */
export type StorageFault = "locked" | "failed" | "crashed";

/** Failure to open, read, write or sync files of the data folder. */
export class StorageError extends Error {
  override readonly name = "StorageError";
  readonly kind: StorageFault;

  constructor(kind: StorageFault, message: string, options?: ErrorOptions) {
    super(message, options);
    this.kind = kind;
  }
}
