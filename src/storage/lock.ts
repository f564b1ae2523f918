/** Lock of a data folder: a file that identifies the process of its only writer.
 *
 * A lock is stale if its process id is not in use, or if the process with that
 * id started at another time. Before a process removes a stale file, it
 * exclusively creates a claim file named after the stale file's token, and reads
 * the stale file again. So of several processes that find the same stale file,
 * one removes it, and none removes a newer one. A claim whose process has ended
 * is a stale file itself. Processes in different containers that share the
 * folder but not the process ids can't detect each other.
 * @module */

import * as crypto from "node:crypto";
import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as timers from "node:timers/promises";
import * as errors from "./errors.ts";

const LOCK_FILE = "lock";
const MAX_ATTEMPTS = 20;
/** Delay between attempts while another process removes a stale lock. */
const RETRY_DELAY_MS = 10;

/** A held lock. */
export interface Lock {
  release(): Promise<void>;
}

interface Owner {
  process: number;
  /** Start time of the process in clock ticks since boot; empty if unknown. */
  started: string;
  token: string;
}

/** Whether `name` is a lock file or a claim. */
export function isLock(name: string): boolean {
  return name === LOCK_FILE || name.startsWith(`${LOCK_FILE}.`);
}

/** Locks `folder`. Throws a `StorageError` of kind `locked` if another process
 * holds the lock. */
export async function acquire(folder: string): Promise<Lock> {
  const owner = await describeProcess(process.pid);
  const file = path.join(folder, LOCK_FILE);
  const ownFile = path.join(folder, `${LOCK_FILE}.${owner.token}`);
  // Synced before it is linked, so that a power failure leaves no lock file
  // without its owner.
  await fs.writeFile(ownFile, JSON.stringify(owner), {
    flag: "wx",
    flush: true,
  });
  try {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      if (await link(ownFile, file)) {
        return { release: () => release(file, owner) };
      }
      const holder = await removeStale({ file, ownFile });
      if (holder) throw inUseError(folder, holder);
      if (attempt > 0) await timers.setTimeout(RETRY_DELAY_MS);
    }
  } finally {
    await fs.rm(ownFile, { force: true });
  }
  throw new errors.StorageError(
    "locked",
    `${folder} could not be locked because other processes are locking it`,
  );
}

function inUseError(folder: string, { process }: Owner): errors.StorageError {
  const message = `${folder} is in use by process ${process}`;
  return new errors.StorageError("locked", message);
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

interface StaleFile {
  /** Path of the file that may be stale. */
  file: string;
  /** Path of this process's own file, which is linked as the claim. */
  ownFile: string;
}

/** Removes a file if it is stale; returns its owner if it is not. */
async function removeStale(
  { file, ownFile }: StaleFile,
): Promise<Owner | undefined> {
  const owner = await readOwner(file);
  if (owner === undefined) return undefined;
  if (await isAlive(owner)) return owner;
  const claim = path.join(
    path.dirname(ownFile),
    `${LOCK_FILE}.${owner.token}.stale`,
  );
  if (!await link(ownFile, claim)) {
    await removeStale({ file: claim, ownFile });
    return undefined;
  }
  // Another process may have removed and recreated the file in the meantime.
  if ((await readOwner(file))?.token === owner.token) await fs.rm(file);
  await fs.rm(claim);
  return undefined;
}

async function release(file: string, owner: Owner): Promise<void> {
  const found = await readOwner(file);
  if (found?.token === owner.token) await fs.rm(file, { force: true });
}

async function readOwner(file: string): Promise<Owner | undefined> {
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
  const { started } = await describeProcess(owner.process);
  return started === "" || owner.started === "" || started === owner.started;
}

async function describeProcess(pid: number): Promise<Owner> {
  const token = crypto.randomBytes(8).toString("hex");
  const text = await fs.readFile(`/proc/${pid}/stat`, "utf8").catch(() => "");
  // Fields after the command name, which is in parentheses and may contain
  // blanks.
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return { process: pid, started: fields[19] ?? "", token };
}
