import test from "ava";
import * as fs from "node:fs/promises";
import * as os from "node:os";
import * as path from "node:path";
import * as storage from "./mod.ts";

function createFolder(): Promise<string> {
  return fs.mkdtemp(path.join(os.tmpdir(), "chicoryloft-storage-"));
}

function text(bytes: Uint8Array | undefined): string | undefined {
  return bytes && Buffer.from(bytes).toString();
}

test("keeps files after closing and reopening the folder", async (t) => {
  const folder = await createFolder();
  const first = await storage.FileStorage.open(folder);
  await first.append("log", Buffer.from("one "));
  await first.append("log", Buffer.from("two"));
  await first.replace("other", Buffer.from("x"));
  await first.truncate("log", 5);
  await first.close();
  const second = await storage.FileStorage.open(folder);
  t.is(text(await second.read("log")), "one t");
  t.deepEqual(await second.list(), ["log", "other"]);
  await second.remove("other");
  t.is(await second.read("other"), undefined);
  await second.close();
});

test("rejects a folder that another writer has locked", async (t) => {
  const folder = await createFolder();
  const first = await storage.FileStorage.open(folder);
  const failure = await t.throwsAsync(storage.FileStorage.open(folder));
  t.is((failure as storage.StorageError).kind, "locked");
  await first.close();
  await (await storage.FileStorage.open(folder)).close();
});

test("wraps errors of the file system in a StorageError", async (t) => {
  const folder = await createFolder();
  const opened = await storage.FileStorage.open(folder);
  await fs.rm(folder, { recursive: true });
  const failure = await t.throwsAsync(opened.list());
  t.true(failure instanceof storage.StorageError);
  t.is((failure!.cause as NodeJS.ErrnoException).code, "ENOENT");
  await opened.close();
});

test("takes over the lock of a process that has ended", async (t) => {
  const folder = await createFolder();
  const owner = { process: 2 ** 22 + 1, started: "1", token: "gone" };
  await fs.writeFile(path.join(folder, "lock"), JSON.stringify(owner));
  const opened = await storage.FileStorage.open(folder);
  t.deepEqual(await opened.list(), []);
  await opened.close();
});

test("takes over the lock of an earlier process with the same id", async (t) => {
  const folder = await createFolder();
  const owner = { process: process.pid, started: "1", token: "gone" };
  await fs.writeFile(path.join(folder, "lock"), JSON.stringify(owner));
  await (await storage.FileStorage.open(folder)).close();
  t.pass();
});

test("only one of several openings takes over a stale lock", async (t) => {
  const folder = await createFolder();
  const owner = { process: 2 ** 22 + 1, started: "1", token: "gone" };
  const lock = path.join(folder, "lock");
  await fs.writeFile(lock, JSON.stringify(owner));
  const left = { ...owner, token: "left" };
  await fs.writeFile(`${lock}.gone.stale`, JSON.stringify(left));
  const openings = Array.from(
    { length: 8 },
    () => storage.FileStorage.open(folder).catch(() => undefined),
  );
  const opened = (await Promise.all(openings)).filter((one) => one);
  t.is(opened.length, 1);
  await opened[0]!.close();
});

test("removes temporary files of an interrupted replacement", async (t) => {
  const folder = await createFolder();
  await fs.writeFile(path.join(folder, "log.12ab.tmp"), "half");
  const opened = await storage.FileStorage.open(folder);
  t.deepEqual(await opened.list(), []);
  await opened.close();
});

test("rejects all writes after a failed one", async (t) => {
  const opened = await storage.FileStorage.open(await createFolder());
  const bytes = Buffer.from("x");
  await t.throwsAsync(opened.append("no/such/folder", bytes));
  const failure = await t.throwsAsync(opened.append("log", bytes));
  t.is((failure as storage.StorageError).kind, "failed");
  await opened.close();
});

test("the in-memory storage loses unsynced writes on a crash", async (t) => {
  const disk = storage.MemoryStorage.create({ manual: true });
  const synced = disk.append("log", Buffer.from("kept "));
  disk.sync();
  await synced;
  const lost = disk.append("log", Buffer.from("lost"));
  const after = disk.crash({ type: "cut", bytes: 2 });
  await t.throwsAsync(lost);
  t.is(text(await after.read("log")), "kept lo");
});
