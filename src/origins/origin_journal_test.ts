/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as storage from "../storage/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as journals from "./origin_journal.ts";

const LIFETIME = 10_000;

function origin(number: number) {
  const stream = `stream-${number}`;
  const location = { service: "models", version: "v1", host: "h-1" };
  return { stream, ...location, lifetime: LIFETIME, age: 0 };
}

/** Opens a journal on a disk; resolves with it and the streams on the disk. */
async function open(disk: runtime.Storage) {
  const clock = new runtime.FakeClock();
  const journal = journals.OriginJournal.create({
    clock,
    logger: telemetry.noLogger,
    openStorage: () => Promise.resolve(disk),
  });
  const loaded = (await journal.load()).map(({ stream }) => stream);
  const settle = async (span: number) => {
    clock.advance(span);
    for (let turn = 0; turn < 20; turn++) await Promise.resolve();
  };
  return { journal, loaded, settle };
}

async function copyOf(disk: runtime.Storage): Promise<runtime.Storage> {
  const copy = storage.MemoryStorage.create();
  for (const name of await disk.list()) {
    await copy.replace(name, (await disk.read(name))!);
  }
  return copy;
}

test("origins are read again after a restart, and after a second one", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { journal, settle } = await open(disk);
  for (const number of [1, 2]) {
    journal.append([origin(number)]);
    await settle(200);
  }
  t.deepEqual((await open(disk)).loaded, ["stream-1", "stream-2"]);
  t.deepEqual((await open(disk)).loaded, ["stream-1", "stream-2"]);
});

test("origins are kept for their lifetime, and not for many of them", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { journal, settle } = await open(disk);
  for (let number = 0; number < 60; number++) {
    journal.append([origin(number)]);
    await settle(1000);
    const { loaded } = await open(await copyOf(disk));
    const kept = Math.min(number + 1, LIFETIME / 1000);
    const newest = Array.from(
      { length: kept },
      (_, back) => `stream-${number - back}`,
    );
    t.true(newest.every((stream) => loaded.includes(stream)));
    t.true(loaded.length <= 3 * LIFETIME / 1000, `${loaded.length}`);
  }
});

test("lines that are torn or not understood are skipped", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { journal, settle } = await open(disk);
  journal.append([origin(1)]);
  await settle(200);
  await disk.append(
    "origins-1",
    Buffer.from('{"type":"later"}\n{"type":"orig'),
  );
  t.deepEqual((await open(disk)).loaded, ["stream-1"]);
});

test("a disk that failed is opened again", async (t) => {
  const disk = storage.MemoryStorage.create();
  const append = disk.append.bind(disk);
  disk.append = () => Promise.reject(new Error("the disk is full"));
  const { journal, settle } = await open(disk);
  journal.append([origin(1)]);
  await settle(200);
  disk.append = append;
  await settle(6000);
  journal.append([origin(2)]);
  await settle(200);
  t.deepEqual((await open(disk)).loaded, ["stream-2"]);
});
