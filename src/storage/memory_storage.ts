/** In-memory storage for tests and benchmarks, which loses unsynced writes on a
 * simulated loss of power and keeps them, unsynced, when the process is killed.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import * as errors from "./errors.ts";

type Files = Map<string, Uint8Array>;

interface PendingWrite {
  name: string;
  apply(files: Files): void;
  resolve(): void;
  reject(cause: Error): void;
}

/** Part of the first unsynced append that remains after a crash: nothing, its
 * first `bytes` bytes, or all of it with the first `bytes` bytes zeroed. */
export type TornWrite =
  | { type: "nothing" }
  | { type: "cut"; bytes: number }
  | { type: "zeros"; bytes: number };

/** Options of an in-memory storage. */
export interface MemoryStorageOptions {
  /** Whether writes stay unsynced until `sync` is called; defaults to false. */
  manual?: boolean;
}

/** A simulated disk that syncs writes in order. */
export class MemoryStorage implements runtime.Storage {
  readonly #files: Files;
  readonly #manual: boolean;
  /** What a loss of power leaves of the files that hold unsynced writes of a
   * killed process; undefined for a file that is lost. */
  readonly #synced = new Map<string, Uint8Array | undefined>();
  #pending: PendingWrite[] = [];
  #crashed = false;
  #syncs = 0;

  private constructor(files: Files, manual: boolean) {
    this.#files = files;
    this.#manual = manual;
  }

  static create(options: MemoryStorageOptions = {}): MemoryStorage {
    return new MemoryStorage(new Map(), options.manual ?? false);
  }

  /** Number of writes not yet synced. */
  get waiting(): number {
    return this.#pending.length;
  }

  /** Number of writes synced so far. */
  get syncs(): number {
    return this.#syncs;
  }

  /** Syncs the next pending write. Returns false if there is none. */
  sync(): boolean {
    const write = this.#pending.shift();
    if (write === undefined) return false;
    write.apply(this.#files);
    this.#synced.delete(write.name);
    this.#syncs++;
    write.resolve();
    return true;
  }

  /** Simulates a loss of power: pending writes are rejected and later ones never
   * complete. Returns the disk as a restarted process finds it. */
  crash(tear: TornWrite = { type: "nothing" }): MemoryStorage {
    const files = new Map(this.#files);
    for (const [name, bytes] of this.#synced) {
      if (bytes === undefined) files.delete(name);
      else files.set(name, bytes);
    }
    const torn = this.#pending[0] as PendingAppend | undefined;
    if (torn?.bytes) tearHandlers[tear.type](files, torn, tear);
    this.#rejectPending();
    return new MemoryStorage(files, this.#manual);
  }

  /** Simulates the end of the process alone: pending writes are in the files, as
   * the operating system has them, and not synced. Returns the disk as a
   * restarted process finds it. */
  kill(): MemoryStorage {
    const files = new Map(this.#files);
    this.#pending.forEach((write) => write.apply(files));
    const restarted = new MemoryStorage(files, this.#manual);
    for (const { name } of this.#pending) {
      restarted.#synced.set(name, this.#files.get(name));
    }
    for (const [name, bytes] of this.#synced) {
      restarted.#synced.set(name, bytes);
    }
    this.#rejectPending();
    return restarted;
  }

  #rejectPending(): void {
    const lost = new errors.StorageError("crashed", "The process has crashed");
    this.#crashed = true;
    this.#pending.forEach((write) => write.reject(lost));
    this.#pending = [];
  }

  /** Flips one bit of a file. */
  corrupt(name: string, offset: number): void {
    const bytes = this.#files.get(name)!.slice();
    bytes[offset] ^= 1;
    this.#files.set(name, bytes);
  }

  read(name: string): Promise<Uint8Array | undefined> {
    return Promise.resolve(this.#files.get(name));
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    const apply = (files: Files) => {
      files.set(name, concat(files.get(name), bytes));
    };
    return this.#write({ name, apply, bytes });
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.#write({ name, apply: (files) => files.set(name, bytes) });
  }

  truncate(name: string, length: number): Promise<void> {
    const apply = (files: Files) => {
      files.set(name, files.get(name)!.slice(0, length));
    };
    return this.#write({ name, apply });
  }

  syncFile(name: string): Promise<void> {
    if (!this.#synced.has(name)) return Promise.resolve();
    return this.#write({ name, apply: () => {} });
  }

  remove(name: string): Promise<void> {
    return this.#write({ name, apply: (files) => files.delete(name) });
  }

  list(): Promise<readonly string[]> {
    return Promise.resolve([...this.#files.keys()].sort());
  }

  #write(request: WriteRequest): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.#crashed) return;
      this.#pending.push({ ...request, resolve, reject });
      if (!this.#manual) this.sync();
    });
  }
}

type WriteRequest = Pick<PendingWrite, "name" | "apply"> & {
  bytes?: Uint8Array;
};

interface PendingAppend extends PendingWrite {
  bytes: Uint8Array;
}

const tearHandlers: Record<
  TornWrite["type"],
  (files: Files, torn: PendingAppend, tear: TornWrite) => void
> = {
  nothing: () => {},
  cut: (files, torn, tear) => {
    const { bytes } = tear as { bytes: number };
    const kept = torn.bytes.slice(0, bytes);
    files.set(torn.name, concat(files.get(torn.name), kept));
  },
  zeros: (files, torn, tear) => {
    const kept = torn.bytes.slice();
    const { bytes } = tear as { bytes: number };
    kept.fill(0, 0, Math.min(bytes, kept.length));
    files.set(torn.name, concat(files.get(torn.name), kept));
  },
};

function concat(head: Uint8Array | undefined, tail: Uint8Array): Uint8Array {
  return Buffer.concat([head ?? new Uint8Array(), tail]);
}
