/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as storage from "../storage/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as origins from "./mod.ts";

const STREAM = { attempt: "a-1", account: "club", route: "plan" };
const BEGUN = {
  stream: STREAM,
  service: "models",
  version: "v1",
  lifetime: 30_000,
};
const RESUMED = { stream: STREAM, services: ["models"], lifetime: 30_000 };
const CONTROL_HOSTS = ["c-1", "c-2", "c-3", "c-4", "c-5"];

/** How a control host answers. */
type Behaviour = "sound" | "silent" | "earlier release";

/** An endpoint of `RESUMED`'s service. */
function endpointOf(version: string) {
  return { service: "models", version };
}

/** Entry hosts before control hosts; each message takes a millisecond. */
function createFleet() {
  const clock = new runtime.FakeClock();
  const disks = new Map(
    CONTROL_HOSTS.map((host) => [host, storage.MemoryStorage.create()]),
  );
  const servers = new Map<string, origins.OriginServer>();
  /** Endpoints that each control host knows. */
  const known = new Map(
    CONTROL_HOSTS.map((host) => [host, [endpointOf("v1")]]),
  );
  const startControl = (host: string) => {
    const server = origins.OriginServer.create({
      clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      openStorage: () => Promise.resolve(disks.get(host)!),
      endpoints: () => known.get(host)!,
    });
    servers.set(host, server);
  };
  CONTROL_HOSTS.forEach(startControl);
  const behaviours = new Map<string, Behaviour>();
  const answer = (host: string, question: schema.Question) => {
    if (behaviours.get(host) === "earlier release") {
      return { type: "failed", reason: "not-served" } as const;
    }
    const server = servers.get(host)!;
    if (question.type === "origin") return server.find(question);
    if (question.type === "origins") return server.store(question);
    if (question.type === "versions") return server.versions(question);
    throw new Error(`unexpected question ${question.type}`);
  };
  const createEntry = (self: string) =>
    origins.OriginClient.create({
      self,
      clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      controlHosts: () => CONTROL_HOSTS,
      reportingHosts: () => CONTROL_HOSTS,
      calls: {
        ask: (to, question, { timeout }) =>
          new Promise((resolve, reject) => {
            if (behaviours.get(to) === "silent") {
              clock.after(timeout, () => reject(new Error("no reply")));
            } else clock.after(1, () => resolve(answer(to, question)));
          }),
      },
    });
  const settle = async (span: number) => {
    for (let step = 0; step < span; step++) {
      clock.advance(1);
      for (let turn = 0; turn < 8; turn++) await Promise.resolve();
    }
  };
  const find = async (
    client: origins.OriginClient,
    resumed: origins.ResumedStream = RESUMED,
  ) => {
    const finding = client.find(resumed);
    await settle(1000);
    return await finding;
  };
  const holders = async () => {
    const stream = origins.keyOf(STREAM);
    const replies = await Promise.all(
      [...servers].map(async ([host, server]) => {
        const { origin } = await server.find({ type: "origin", stream });
        return origin === undefined ? [] : [host];
      }),
    );
    return replies.flat();
  };
  /** Lets time pass in which control hosts run. */
  const run = async (span: number) => {
    for (let elapsed = 0; elapsed < span; elapsed += 1000) {
      servers.forEach((server) => server.tick());
      clock.advance(1000);
    }
    await settle(1);
  };
  const restartAllControl = () => CONTROL_HOSTS.forEach(startControl);
  return {
    clock,
    disks,
    known,
    servers,
    behaviours,
    createEntry,
    settle,
    run,
    find,
    holders,
    startControl,
    restartAllControl,
  };
}

// Guards against streams of two versions: no host but the one that began a
// stream knew its version.
test("a host finds the origin of a stream that another host began", async (t) => {
  const { createEntry, settle, find } = createFleet();
  createEntry("h-1").record(BEGUN);
  await settle(5);
  t.like(await find(createEntry("h-2")), {
    type: "found",
    source: "control",
    origin: { service: "models", version: "v1", host: "h-1" },
  });
});

test("the host that began a stream asks nobody for its origin", async (t) => {
  const { createEntry, behaviours, find } = createFleet();
  CONTROL_HOSTS.forEach((host) => behaviours.set(host, "silent"));
  const entry = createEntry("h-1");
  entry.record(BEGUN);
  t.like(await find(entry), { type: "found", source: "self" });
});

test("an origin is found while one of two copies is out of reach", async (t) => {
  for (const position of [0, 1]) {
    const { createEntry, behaviours, settle, find, holders } = createFleet();
    createEntry("h-1").record(BEGUN);
    await settle(5);
    const all = await holders();
    t.is(all.length, 2);
    behaviours.set(all[position], "silent");
    t.like(await find(createEntry("h-2")), { type: "found" });
  }
});

test("an origin is stored at other control hosts in place of silent ones", async (t) => {
  const { createEntry, behaviours, settle, find } = createFleet();
  CONTROL_HOSTS.slice(0, 3).forEach((host) => behaviours.set(host, "silent"));
  createEntry("h-1").record(BEGUN);
  await settle(700);
  t.like(await find(createEntry("h-2")), { type: "found" });
});

test("an origin that no control host takes is stored later", async (t) => {
  const { createEntry, behaviours, settle, find } = createFleet();
  CONTROL_HOSTS.forEach((host) => behaviours.set(host, "silent"));
  createEntry("h-1").record(BEGUN);
  await settle(700);
  behaviours.clear();
  await settle(1500);
  t.like(await find(createEntry("h-2")), { type: "found" });
});

test("an origin that is being stored while the stream is resumed is found", async (t) => {
  const { createEntry, find } = createFleet();
  const other = createEntry("h-2");
  createEntry("h-1").record(BEGUN);
  t.like(await find(other), { type: "found" });
});

// Guards against streams that no caller can resume after all hosts have ended at
// once.
test("an origin is found after all hosts have started again", async (t) => {
  const { createEntry, settle, find, restartAllControl } = createFleet();
  createEntry("h-1").record(BEGUN);
  await settle(300);
  restartAllControl();
  t.like(await find(createEntry("h-2")), { type: "found", source: "control" });
});

test("origins are stored without a disk that takes writes", async (t) => {
  const { createEntry, disks, settle, find } = createFleet();
  for (const disk of disks.values()) {
    disk.append = () => Promise.reject(new Error("the disk is full"));
  }
  createEntry("h-1").record(BEGUN);
  await settle(300);
  t.like(await find(createEntry("h-2")), { type: "found", source: "control" });
});

test("an origin answers only to the account and the route of its stream", async (t) => {
  const { createEntry, settle, find } = createFleet();
  createEntry("h-1").record(BEGUN);
  await settle(5);
  const changes = [{ account: "other" }, { account: undefined }, {
    route: "other",
  }];
  for (const change of changes) {
    const stream = { ...STREAM, ...change };
    t.deepEqual(await find(createEntry("h-2"), { ...RESUMED, stream }), {
      type: "unknown",
      reason: "not-recorded",
    });
  }
});

test("the origin of a stream that is not named is unknown", async (t) => {
  const { createEntry, find } = createFleet();
  const finding = await find(createEntry("h-1"), {
    ...RESUMED,
    stream: undefined,
  });
  t.deepEqual(finding, { type: "unknown", reason: "not-named" });
});

/** A fleet whose control hosts know an endpoint of `v1` for a minute. */
async function createOldFleet() {
  const fleet = createFleet();
  await fleet.run(60_000);
  return fleet;
}

const UNNAMED = { ...RESUMED, stream: undefined };
const ONLY_V1 = {
  type: "found",
  source: "history",
  origin: { service: "models", version: "v1" },
};

test("without a record the version is that which alone has served", async (t) => {
  const fleet = await createOldFleet();
  const entry = fleet.createEntry("h-2");
  t.deepEqual(await fleet.find(entry) as unknown, ONLY_V1);
  t.deepEqual(await fleet.find(entry, UNNAMED) as unknown, ONLY_V1);
});

// Guards against streams of two versions: a host that finds no record guessed
// the version.
test("without a record the version is unknown while there are several", async (t) => {
  const fleet = await createOldFleet();
  CONTROL_HOSTS.forEach((host) =>
    fleet.known.get(host)!.push(endpointOf("v2"))
  );
  const entry = fleet.createEntry("h-2");
  t.like(await fleet.find(entry), { type: "unknown", reason: "not-recorded" });
  t.like(await fleet.find(entry, UNNAMED), { reason: "not-named" });
});

// Guards against streams of two versions: a host that was cut off, or stood
// still, while endpoints of a new version joined continued their streams at
// the version that it knew.
test("an endpoint that one control host alone has reported makes the version unknown", async (t) => {
  for (const host of CONTROL_HOSTS) {
    const fleet = await createOldFleet();
    fleet.servers.get(host)!.recordReport([endpointOf("v2")]);
    const entry = fleet.createEntry("h-2");
    t.like(await fleet.find(entry), { reason: "not-recorded" }, host);
    t.like(await fleet.find(entry, UNNAMED), { reason: "not-named" }, host);
  }
});

test("an endpoint that has left counts for as long as its streams may be resumed", async (t) => {
  const fleet = await createOldFleet();
  const [host] = CONTROL_HOSTS;
  fleet.servers.get(host)!.recordReport([endpointOf("v2")]);
  await fleet.run(RESUMED.lifetime - 2000);
  const entry = fleet.createEntry("h-2");
  t.like(await fleet.find(entry), { type: "unknown" });
  await fleet.run(2000);
  t.like(await fleet.find(entry), { type: "found" });
});

test("the version is unknown while a control host does not answer", async (t) => {
  for (const host of CONTROL_HOSTS) {
    const fleet = await createOldFleet();
    const entry = fleet.createEntry("h-2");
    fleet.behaviours.set(host, "silent");
    const unknown = { type: "unknown", reason: "unreachable" };
    t.like(await fleet.find(entry), unknown, host);
    t.like(await fleet.find(entry, UNNAMED), unknown, host);
    fleet.behaviours.clear();
    t.like(await fleet.find(entry), { type: "found" }, host);
  }
});

test("the version is unknown while a control host does not know what it reported", async (t) => {
  const fleet = await createOldFleet();
  const [restarted] = CONTROL_HOSTS;
  fleet.startControl(restarted);
  const entry = fleet.createEntry("h-2");
  t.like(await fleet.find(entry), { type: "unknown", reason: "not-recorded" });
  await fleet.run(RESUMED.lifetime);
  t.like(await fleet.find(entry), { type: "found" });
  fleet.behaviours.set(restarted, "earlier release");
  t.like(await fleet.find(entry), { type: "unknown", reason: "not-recorded" });
});

test("the version is unknown where no control host has seen the service", async (t) => {
  const fleet = await createOldFleet();
  const services = ["others"];
  t.like(await fleet.find(fleet.createEntry("h-2"), { ...UNNAMED, services }), {
    reason: "not-named",
  });
});
