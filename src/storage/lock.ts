/** One writer of a data folder at a time, by a file that names its process.
 *
 * A lock is stale when no process has its number any more, or when the one
 * that has it started at another time. The right to remove a stale file is
 * itself a file, made exclusively and named after the token of the stale one,
 * and who has it reads the stale file once more before removing it. So of many
 * that find the same stale file one removes it, and none removes a later one. A
 * right whose process has ended is a stale file like any other. A process in
 * another container that shares the folder but not the process numbers is not
 * recognised.
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
      const holder = await removeStale({ file, own });
      if (holder) throw inUse(folder, holder);
      if (count > 0) await timers.setTimeout(PAUSE);
    }
  } finally {
    await fs.rm(own, { force: true });
  }
  throw new error.StorageError("locked", `${folder} is being locked by others`);
}

function inUse(folder: string, { process }: Owner): error.StorageError {
  const message = `${folder} is in use by process ${process}`;
  return new error.StorageError("locked", message);
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

interface Removal {
  /** File that may be stale. */
  file: string;
  /** File of the process that wants to remove it. */
  own: string;
}

/** Removes a stale file; returns the owner of one that is not stale. */
async function removeStale(
  { file, own }: Removal,
): Promise<Owner | undefined> {
  const owner = await read(file);
  if (owner === undefined) return undefined;
  if (await isAlive(owner)) return owner;
  const right = path.join(path.dirname(own), `${NAME}.${owner.token}.stale`);
  if (!await link(own, right)) {
    await removeStale({ file: right, own });
    return undefined;
  }
  // Meanwhile another may have removed it and made it anew.
  if ((await read(file))?.token === owner.token) await fs.rm(file);
  await fs.rm(right);
  return undefined;
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
