/** Files on a disk, under one data folder with one writer.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import type * as runtime from "../runtime/mod.ts";
import * as error from "./error.ts";
import * as lock from "./lock.ts";

const TEMPORARY = ".tmp";

/** Storage on a file system. An operation that fails to write or sync makes
 * all later ones fail: what the disk then holds is not known. */
export class FileStorage implements runtime.Storage {
  readonly #folder: string;
  readonly #lock?: lock.Lock;
  readonly #handles = new Map<string, fs.FileHandle>();
  #failure?: error.StorageError;

  private constructor(folder: string, held?: lock.Lock) {
    this.#folder = folder;
    this.#lock = held;
  }

  /** Opens `folder`, creates it if need be, and locks it, unless the platform
   * sees to it that no other process has it (`isOwn`). */
  static async open(
    folder: string,
    { isOwn = false }: { isOwn?: boolean } = {},
  ): Promise<FileStorage> {
    try {
      const made = await fs.mkdir(folder, { recursive: true });
      const parent = path.dirname(path.resolve(folder));
      if (made !== undefined || !isOwn) await syncFolder(parent);
      const held = isOwn ? undefined : await lock.acquire(folder);
      const storage = new FileStorage(folder, held);
      await storage.#clean();
      return storage;
    } catch (cause) {
      if (cause instanceof error.StorageError) throw cause;
      throw failed(`open ${folder}`, cause);
    }
  }

  async read(name: string): Promise<Uint8Array | undefined> {
    try {
      return await fs.readFile(this.#path(name));
    } catch (cause) {
      if (isMissing(cause)) return undefined;
      throw failed(`read ${name}`, cause);
    }
  }

  append(name: string, bytes: Uint8Array): Promise<void> {
    return this.#write(name, async () => {
      const handle = this.#handles.get(name) ?? await this.#create(name);
      await handle.appendFile(bytes);
      await handle.datasync();
    });
  }

  replace(name: string, bytes: Uint8Array): Promise<void> {
    return this.#write(name, async () => {
      await this.#release(name);
      const suffix = crypto.randomBytes(4).toString("hex");
      const temporary = this.#path(`${name}.${suffix}${TEMPORARY}`);
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
      const handle = this.#handles.get(name) ?? await this.#create(name);
      await handle.truncate(length);
      await handle.sync();
    });
  }

  remove(name: string): Promise<void> {
    return this.#write(name, async () => {
      await this.#release(name);
      await fs.rm(this.#path(name), { force: true });
      await syncFolder(this.#folder);
    });
  }

  async list(): Promise<readonly string[]> {
    try {
      const names = await fs.readdir(this.#folder);
      return names.filter((name) =>
        !name.endsWith(TEMPORARY) && !lock.isLock(name)
      ).sort();
    } catch (cause) {
      throw failed(`list ${this.#folder}`, cause);
    }
  }

  /** Closes all files and lets go of the lock. */
  async close(): Promise<void> {
    try {
      for (const name of [...this.#handles.keys()]) await this.#release(name);
      await this.#lock?.release();
    } catch (cause) {
      throw failed(`close ${this.#folder}`, cause);
    }
  }

  async #write(name: string, action: () => Promise<void>): Promise<void> {
    if (this.#failure) throw this.#failure;
    try {
      await action();
    } catch (cause) {
      this.#failure ??= failed(`write ${name}`, cause);
      throw this.#failure;
    }
  }

  async #create(name: string): Promise<fs.FileHandle> {
    const handle = await fs.open(this.#path(name), "a");
    this.#handles.set(name, handle);
    await syncFolder(this.#folder);
    return handle;
  }

  async #release(name: string): Promise<void> {
    const handle = this.#handles.get(name);
    this.#handles.delete(name);
    await handle?.close();
  }

  async #clean(): Promise<void> {
    for (const name of await fs.readdir(this.#folder)) {
      if (name.endsWith(TEMPORARY)) await fs.rm(this.#path(name));
    }
  }

  #path(name: string): string {
    return path.join(this.#folder, name);
  }
}

function failed(action: string, cause: unknown): error.StorageError {
  return new error.StorageError("failed", `Cannot ${action}`, { cause });
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
