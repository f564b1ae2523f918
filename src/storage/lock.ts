/** One writer of a data folder at a time, by a file that names its process.
 *
 * A lock is stale when no process has its number any more, or when the one
 * that has it started at another time. The right to remove a stale lock is
 * itself a file, made exclusively and named after that lock, and who has it
 * looks at the lock once more: of many that find the same stale lock, one
 * removes it, and none removes a later one. If a process ends while it has that
 * right, its file is removed like any other left-over; only then could two that
 * do so in the same instant both go on. A process in another container that
 * shares the folder but not the process numbers is not recognised.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as error from "./error.ts";

const NAME = "lock";
const MOST_TRIES = 20;
/** Milliseconds between tries while another removes a stale lock. */
const PAUSE = 10;

/** A lock that is held until it is released. */
export interface Lock {
  release(): Promise<void>;
}

interface Owner {
  process: number;
  /** Start of the process in clock ticks since boot; empty if not known. */
  started: string;
  token: string;
}

/** Whether `name` is a file of this module. */
export function isLock(name: string): boolean {
  return name === NAME || name.startsWith(`${NAME}.`);
}

/** Locks `folder`, or throws `StorageError` of kind `locked`. */
export async function acquire(folder: string): Promise<Lock> {
  const owner = await describe(process.pid);
  const file = path.join(folder, NAME);
  const own = path.join(folder, `${NAME}.${owner.token}`);
  // Synced, so that after a loss of power no lock is there without its owner.
  await fs.writeFile(own, JSON.stringify(owner), { flag: "wx", flush: true });
  try {
    for (let count = 0; count < MOST_TRIES; count++) {
      if (await link(own, file)) return { release: () => release(file, owner) };
      await removeStale(folder, own);
      if (count > 0) await timers.setTimeout(PAUSE);
    }
  } finally {
    await fs.rm(own, { force: true });
  }
  throw new error.StorageError("locked", `${folder} is being locked by others`);
}

async function link(from: string, to: string): Promise<boolean> {
  try {
    await fs.link(from, to);
    return true;
  } catch (cause) {
    if ((cause as NodeJS.ErrnoException).code === "EEXIST") return false;
    throw cause;
  }
}

async function removeStale(folder: string, own: string): Promise<void> {
  const file = path.join(folder, NAME);
  const owner = await read(file);
  if (owner === undefined) return;
  if (await isAlive(owner)) {
    const message = `${folder} is in use by process ${owner.process}`;
    throw new error.StorageError("locked", message);
  }
  const right = path.join(folder, `${NAME}.${owner.token}.stale`);
  if (!await link(own, right)) return removeLeftOver(right);
  // Meanwhile another may have removed it and locked the folder.
  if ((await read(file))?.token === owner.token) await fs.rm(file);
  await fs.rm(right);
}

async function removeLeftOver(right: string): Promise<void> {
  const owner = await read(right);
  if (owner && !await isAlive(owner)) await fs.rm(right, { force: true });
}

async function release(file: string, owner: Owner): Promise<void> {
  const found = await read(file);
  if (found?.token === owner.token) await fs.rm(file, { force: true });
}

async function read(file: string): Promise<Owner | undefined> {
  try {
    return JSON.parse(await fs.readFile(file, "utf8"));
  } catch {
    return undefined;
  }
}

async function isAlive(owner: Owner): Promise<boolean> {
  try {
    process.kill(owner.process, 0);
  } catch (cause) {
    if ((cause as NodeJS.ErrnoException).code === "ESRCH") return false;
  }
  const { started } = await describe(owner.process);
  return started === "" || owner.started === "" || started === owner.started;
}

async function describe(number: number): Promise<Owner> {
  const token = crypto.randomBytes(8).toString("hex");
  const text = await fs.readFile(`/proc/${number}/stat`, "utf8").catch(() =>
    ""
  );
  // Fields after the command name, which stands in parentheses.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return { process: number, started: fields[19] ?? "", token };
}
