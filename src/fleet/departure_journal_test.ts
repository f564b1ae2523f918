/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as endpoints from "../endpoints/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as storage from "../storage/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as departureJournals from "./departure_journal.ts";

const RETENTION_MS = 60_000;

/** Lets callbacks that are due run. */
async function settle(): Promise<void> {
  for (let turn = 0; turn < 50; turn++) await Promise.resolve();
}

/** A control host's roster and its journal on a disk that is synced by hand if
 * it is `manual`, `age` milliseconds later by the time of day. */
async function open(disk: storage.MemoryStorage, { age = 0 } = {}) {
  const clock = new runtime.FakeClock();
  clock.advance(age);
  const tally = new telemetry.Tally();
  const roster = endpoints.Roster.create({
    silenceTimeoutMs: 4200,
    retentionMs: RETENTION_MS,
  });
  const journal = departureJournals.DepartureJournal.create({
    clock,
    logger: telemetry.noLogger,
    metrics: tally,
    roster,
    openStorage: () => Promise.resolve(disk),
  });
  const opening = journal.open();
  await settle();
  while (disk.waiting > 0) {
    disk.sync();
    await settle();
  }
  await opening;
  const heartbeat = (change: Partial<endpoints.EndpointStatus>) =>
    roster.merge({
      status: fixture.endpointStatus(change),
      heardAt: clock.now(),
    });
  const leave = (id: string) => {
    roster.recordLeave({ id }, clock.now());
    return journal.store([roster.get(id)!]);
  };
  const tick = async () => {
    roster.expire(clock.now());
    journal.tick();
    await settle();
  };
  const states = () =>
    Object.fromEntries(
      [...roster.entries].map(({ id, state }) => [id, state]),
    );
  return { clock, tally, roster, journal, heartbeat, leave, tick, states };
}

test("departures are known after a restart, and endpoints that are ready are not stored", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { heartbeat, leave, journal, roster } = await open(disk);
  heartbeat({ id: "i-1" });
  heartbeat({ id: "i-2", state: "draining", sequence: 5 });
  heartbeat({ id: "i-3", born: 7 });
  t.true(await leave("i-3"));
  t.true(await journal.store([...roster.entries]));
  for (let restart = 0; restart < 2; restart++) {
    const { states, roster: restored } = await open(disk.crash());
    t.deepEqual(states(), { "i-2": "draining", "i-3": "gone" });
    t.is(restored.get("i-2")!.sequence, 5);
    t.is(restored.get("i-3")!.born, 7);
  }
});

test("a departure is stored only once it is synced", async (t) => {
  // Guards against an acknowledgement of what is in memory alone.
  const disk = storage.MemoryStorage.create({ manual: true });
  const { leave } = await open(disk);
  const outcomes: boolean[] = [];
  void leave("i-1").then((isStored) => outcomes.push(isStored));
  void leave("i-2").then((isStored) => outcomes.push(isStored));
  await settle();
  t.deepEqual(outcomes, []);
  while (outcomes.length < 2) {
    t.true(disk.sync());
    await settle();
  }
  t.deepEqual(outcomes, [true, true]);
  const { states } = await open(disk.crash());
  t.deepEqual(states(), { "i-1": "gone", "i-2": "gone" });
});

test("departures that arrive during a write are written together", async (t) => {
  const disk = storage.MemoryStorage.create({ manual: true });
  const { leave, tally } = await open(disk);
  const before = disk.syncs;
  const stored = [leave("i-0")];
  await settle();
  for (let number = 1; number <= 20; number++) {
    stored.push(leave(`i-${number}`));
  }
  while (disk.waiting > 0) {
    disk.sync();
    await settle();
  }
  t.true((await Promise.all(stored)).every((isStored) => isStored));
  t.is(disk.syncs - before, 2);
  t.is(tally.total("departures.stored"), 21);
});

test("a delayed heartbeat does not bring an endpoint back after a restart", async (t) => {
  // Guards against sequence numbers that are forgotten with the departure.
  const disk = storage.MemoryStorage.create();
  const { heartbeat, leave, journal, roster } = await open(disk);
  heartbeat({ id: "i-1", sequence: 8 });
  t.true(await leave("i-1"));
  heartbeat({ id: "i-2", sequence: 8, state: "draining" });
  t.true(await journal.store([roster.get("i-2")!]));
  const restarted = await open(disk.crash());
  for (const id of ["i-1", "i-2"]) {
    restarted.heartbeat({ id, sequence: 7 });
  }
  t.deepEqual(restarted.states(), { "i-1": "gone", "i-2": "draining" });
  // A later incarnation of an id is another endpoint.
  restarted.heartbeat({ id: "i-1", born: 9 });
  t.is(restarted.states()["i-1"], "ready");
});

test("a departure that the disk refuses is not acknowledged until the disk works again", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { leave, journal, roster, clock, tally } = await open(disk);
  const { append, replace } = disk;
  const refuse = () => Promise.reject(new Error("the disk is full"));
  Object.assign(disk, { append: refuse, replace: refuse });
  t.false(await leave("i-1"));
  clock.advance(5000);
  await settle();
  t.false(await journal.store([roster.get("i-1")!]));
  Object.assign(disk, { append, replace });
  clock.advance(5000);
  await settle();
  t.true(await journal.store([roster.get("i-1")!]));
  t.is(tally.total("departures.stored"), 2);
  const { states } = await open(disk.crash());
  t.deepEqual(states(), { "i-1": "gone" });
});

test("a storage that can't be opened at first is opened later, with its departures", async (t) => {
  const disk = storage.MemoryStorage.create();
  t.true(await (await open(disk)).leave("i-1"));
  const read = disk.read;
  disk.read = () => Promise.reject(new Error("the disk does not respond"));
  const { clock, states, leave } = await open(disk);
  t.deepEqual(states(), {});
  t.false(await leave("i-2"));
  disk.read = read;
  clock.advance(5000);
  await settle();
  t.deepEqual(states(), { "i-1": "gone", "i-2": "gone" });
  t.true(await leave("i-2"));
});

test("lines that are torn or damaged are skipped, and later departures are kept", async (t) => {
  const disk = storage.MemoryStorage.create({ manual: true });
  const { leave } = await open(disk);
  const first = leave("i-1");
  await settle();
  disk.sync();
  t.true(await first);
  void leave("i-2");
  await settle();
  const tears: storage.TornWrite[] = [
    { type: "cut", bytes: 30 },
    { type: "zeros", bytes: 10 },
  ];
  for (const tear of tears) {
    const torn = disk.crash(tear);
    const next = await open(torn);
    t.deepEqual(next.states(), { "i-1": "gone" });
    const stored = next.leave("i-3");
    await settle();
    torn.sync();
    t.true(await stored);
    const { states } = await open(torn.crash());
    t.deepEqual(states(), { "i-1": "gone", "i-3": "gone" });
  }
});

test("the file is bounded by what the roster retains", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { leave, clock, tick, states } = await open(disk);
  const perMinute = 600;
  for (let number = 0; number < 5 * perMinute; number++) {
    t.true(await leave(`i-${number}`));
    clock.advance(RETENTION_MS / perMinute);
    await tick();
  }
  const { length } = (await disk.read("departures"))!;
  const retained = Object.keys(states()).length;
  t.true(retained <= perMinute + 1, `${retained}`);
  t.true(length < 400 * retained, `${length}`);
  clock.advance(RETENTION_MS + 1);
  await tick();
  t.is((await disk.read("departures"))!.length, 0);
});

test("an endpoint that is ready again is removed from the file", async (t) => {
  const disk = storage.MemoryStorage.create();
  const { heartbeat, journal, roster, clock, tick } = await open(disk);
  heartbeat({ id: "i-1", state: "draining", sequence: 1 });
  t.true(await journal.store([roster.get("i-1")!]));
  heartbeat({ id: "i-1", sequence: 2 });
  clock.advance(5000);
  await tick();
  const { states } = await open(disk.crash());
  t.deepEqual(states(), {});
});

test("a departure is restored while delayed heartbeats may arrive, and not after a long time", async (t) => {
  // Guards against an endpoint that serves again under its id and is ignored, as
  // a control host that was down meanwhile restores its departure.
  const disk = storage.MemoryStorage.create();
  t.true(await (await open(disk)).leave("i-1"));
  const statesAfter = async (age: number) =>
    (await open(disk.crash(), { age })).states();
  t.deepEqual(await statesAfter(1000), { "i-1": "gone" });
  t.deepEqual(await statesAfter(90_000), { "i-1": "gone" });
  t.deepEqual(await statesAfter(3_600_000), {});
});
