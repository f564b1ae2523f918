/** Storage of files in a data folder on disk, with a single writer.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import type * as runtime from "../runtime/mod.ts";
import * as errors from "./errors.ts";
import * as lock from "./lock.ts";

const TEMPORARY_SUFFIX = ".tmp";

/** Storage on a file system. After a failed write or sync all later writes fail
 * too, because the state of the disk is then unknown. */
export class FileStorage implements runtime.Storage {
  readonly #folder: string;
  readonly #lock?: lock.Lock;
  readonly #handles = new Map<string, fs.FileHandle>();
  #failure?: errors.StorageError;

  private constructor(folder: string, acquired?: lock.Lock) {
    this.#folder = folder;
    this.#lock = acquired;
  }

  /** Opens `folder`, creates it if necessary, and locks it, unless the platform
   * guarantees exclusive access to it (`isOwn`). */
  static async open(
    folder: string,
    { isOwn = false }: { isOwn?: boolean } = {},
  ): Promise<FileStorage> {
    try {
      const created = await fs.mkdir(folder, { recursive: true });
      const parent = path.dirname(path.resolve(folder));
      if (created !== undefined || !isOwn) await syncFolder(parent);
      const acquired = isOwn ? undefined : await lock.acquire(folder);
      const storage = new FileStorage(folder, acquired);
      await storage.#removeTemporaryFiles();
      return storage;
    } catch (cause) {
      if (cause instanceof errors.StorageError) throw cause;
      throw storageError(`open ${folder}`, cause);
    }
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await fs.readFile(this.#path(name));
    } catch (cause) {
      if (isMissing(cause)) return undefined;
      throw storageError(`read ${name}`, cause);
    }
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    return this.#write(name, async () => {
      const handle = this.#handles.get(name) ?? await this.#openHandle(name);
      await handle.appendFile(bytes);
      await handle.datasync();
    });
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.#write(name, async () => {
      await this.#closeHandle(name);
      const suffix = crypto.randomBytes(4).toString("hex");
      const temporary = this.#path(`${name}.${suffix}${TEMPORARY_SUFFIX}`);
      const handle = await fs.open(temporary, "wx");
      try {
        await handle.writeFile(bytes);
        await handle.sync();
      } finally {
        await handle.close();
      }
      await fs.rename(temporary, this.#path(name));
      await syncFolder(this.#folder);
    });
  }

  truncate(name: string, length: number): Promise<void> {
    return this.#write(name, async () => {
      const handle = this.#handles.get(name) ?? await this.#openHandle(name);
      await handle.truncate(length);
      await handle.sync();
    });
  }

  syncFile(name: string): Promise<void> {
    return this.#write(name, async () => {
      const handle = this.#handles.get(name) ?? await this.#openHandle(name);
      await handle.sync();
    });
  }

  remove(name: string): Promise<void> {
    return this.#write(name, async () => {
      await this.#closeHandle(name);
      await fs.rm(this.#path(name), { force: true });
      await syncFolder(this.#folder);
    });
  }

  async list(): Promise<readonly string[]> {
    try {
      const names = await fs.readdir(this.#folder);
      return names.filter((name) =>
        !name.endsWith(TEMPORARY_SUFFIX) && !lock.isLock(name)
      ).sort();
    } catch (cause) {
      throw storageError(`list ${this.#folder}`, cause);
    }
  }

  /** Closes all files and releases the lock. */
  async close(): Promise<void> {
    try {
      for (const name of [...this.#handles.keys()]) {
        await this.#closeHandle(name);
      }
      await this.#lock?.release();
    } catch (cause) {
      throw storageError(`close ${this.#folder}`, cause);
    }
  }

  async #write(name: string, action: () => Promise<void>): Promise<void> {
    if (this.#failure) throw this.#failure;
    try {
      await action();
    } catch (cause) {
      this.#failure ??= storageError(`write ${name}`, cause);
      throw this.#failure;
    }
  }

  async #openHandle(name: string): Promise<fs.FileHandle> {
    const handle = await fs.open(this.#path(name), "a");
    this.#handles.set(name, handle);
    await syncFolder(this.#folder);
    return handle;
  }

  async #closeHandle(name: string): Promise<void> {
    const handle = this.#handles.get(name);
    this.#handles.delete(name);
    await handle?.close();
  }

  async #removeTemporaryFiles(): Promise<void> {
    for (const name of await fs.readdir(this.#folder)) {
      if (name.endsWith(TEMPORARY_SUFFIX)) await fs.rm(this.#path(name));
    }
  }

  #path(name: string): string {
    return path.join(this.#folder, name);
  }
}

function storageError(action: string, cause: unknown): errors.StorageError {
  return new errors.StorageError("failed", `Cannot ${action}`, { cause });
}

function isMissing(cause: unknown): boolean {
  return (cause as NodeJS.ErrnoException).code === "ENOENT";
}

async function syncFolder(folder: string): Promise<void> {
  const handle = await fs.open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
