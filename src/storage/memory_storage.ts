/** Files in memory that forget at a crash what was not synced, for tests and
 * for trials.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import * as error from "./error.ts";

type Files = Map<string, Uint8Array>;

interface Write {
  name: string;
  apply(files: Files): void;
  resolve(): void;
  reject(cause: Error): void;
}

/** How much of the first unsynced append a crash leaves behind. */
export type TornWrite =
  | { type: "nothing" }
  | { type: "cut"; bytes: number }
  | { type: "zeros"; bytes: number };

/** Options of a fake. */
export interface MemoryStorageOptions {
  /** Keeps writes unsynced until `sync` is called; false when absent. */
  manual?: boolean;
}

/** A fake disk. Writes are synced in order. */
export class MemoryStorage implements runtime.Storage {
  readonly #files: Files;
  readonly #manual: boolean;
  #waiting: Write[] = [];
  #crashed = false;
  #syncs = 0;

  private constructor(files: Files, manual: boolean) {
    this.#files = files;
    this.#manual = manual;
  }

  static create(options: MemoryStorageOptions = {}): MemoryStorage {
    return new MemoryStorage(new Map(), options.manual ?? false);
  }

  /** Writes that wait for a sync. */
  get waiting(): number {
    return this.#waiting.length;
  }

  /** Writes synced so far. */
  get syncs(): number {
    return this.#syncs;
  }

  /** Syncs the next waiting write; returns false when there is none. */
  sync(): boolean {
    const write = this.#waiting.shift();
    if (write === undefined) return false;
    write.apply(this.#files);
    this.#syncs++;
    write.resolve();
    return true;
  }

  /** Ends this process's view; returns the disk as the next one finds it. */
  crash(tear: TornWrite = { type: "nothing" }): MemoryStorage {
    const files = new Map(this.#files);
    const torn = this.#waiting[0] as Append | undefined;
    if (torn?.bytes) tears[tear.type](files, torn, tear);
    const lost = new error.StorageError("crashed", "The process has crashed");
    this.#crashed = true;
    this.#waiting.forEach((write) => write.reject(lost));
    this.#waiting = [];
    return new MemoryStorage(files, this.#manual);
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

  remove(name: string): Promise<void> {
    return this.#write({ name, apply: (files) => files.delete(name) });
  }

  list(): Promise<readonly string[]> {
    return Promise.resolve([...this.#files.keys()].sort());
  }

  #write(change: Change): Promise<void> {
    return new Promise((resolve, reject) => {
      if (this.#crashed) return;
      this.#waiting.push({ ...change, resolve, reject });
      if (!this.#manual) this.sync();
    });
  }
}

type Change = Pick<Write, "name" | "apply"> & { bytes?: Uint8Array };

interface Append extends Write {
  bytes: Uint8Array;
}

const tears: Record<
  TornWrite["type"],
  (files: Files, torn: Append, tear: TornWrite) => void
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
