/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as fixture from "./fixture.ts";
import * as batcherClients from "./batcher_client.ts";
import type * as tasks from "./task.ts";

function host(name: string, dataCentre: string) {
  return { host: name, dataCentre };
}

const HOSTS = [
  host("hall-1", "hall"),
  host("hall-2", "hall"),
  host("town-1", "town"),
  host("town-2", "town"),
];

/** A reply without results. */
const NOTHING_MADE: schema.MadeReply = { type: "made", results: [] };

/** A client on the host `me`, which is not an entry host. Hosts in `silent` do
 * not respond; the others reply with `made` to questions for results. */
function clientOf(
  endpoints: readonly tasks.Worker[],
  silent: readonly string[] = [],
  { services = ["billing", "maps"], made = NOTHING_MADE } = {},
) {
  const contacted: string[] = [];
  const clock = new runtime.FakeClock();
  const local = { reserved: 0, computed: 0 };
  const client = batcherClients.BatcherClient.create({
    self: "me",
    clock,
    logger: telemetry.noLogger,
    dependencies: () => [HOSTS],
    entryHosts: () => HOSTS,
    services: () => services,
    workers: () => endpoints,
    isAvailable: () => true,
    calls: {
      ask(to, { type }): Promise<schema.Reply> {
        contacted.push(to);
        if (silent.includes(to)) return Promise.reject(new Error("silent"));
        return Promise.resolve(
          type === "book" ? { type: "booked", wait: 7, work: 3 } : made,
        );
      },
      cast: (to) => void contacted.push(to),
    },
    batcher: {
      compute() {
        local.computed++;
        return Promise.resolve([]);
      },
    } as unknown as batcherClients.BatcherClientOptions["batcher"],
  });
  return { client, contacted, local };
}

function bookQuestion(service: string, cell: string): schema.BookQuestion {
  const rest = { request: "r", stage: 0, pieces: 1, slack: 500, rank: 0 };
  return { type: "book", service, cell, ...rest };
}

function makeQuestion(service: string, cell: string): schema.MakeQuestion {
  const { slack: _, ...rest } = bookQuestion(service, cell);
  return { ...rest, type: "make", pieces: [0], bytes: 1, remaining: 1000 };
}

const CONSUMER = { request: "r", dataCentre: "town" };

test("a partition is owned by a host of its data centre", async (t) => {
  const { client, contacted } = clientOf(
    fixture.workersAt({ hall: 5, town: 5 }),
  );
  const cell = client.selectPartition("maps", CONSUMER);
  t.is(cell, "town/0.1");
  const estimate = await client.reserve(bookQuestion("maps", cell));
  const [host] = contacted;
  t.deepEqual(estimate, { type: "booked", host, wait: 7, work: 3 });
  t.regex(host, /^town/);
});

test("data centres with partitions of their own are alternatives", (t) => {
  const services = ["billing", "maps"];
  const apart = clientOf(fixture.workersAt({ hall: 5, port: 5, town: 5 }));
  t.deepEqual(apart.client.dataCentresBeside(services, CONSUMER).sort(), [
    "hall",
    "port",
  ]);
  const shared = clientOf(fixture.workersAt({ hall: 2, town: 2 }));
  t.deepEqual(shared.client.dataCentresBeside(services, CONSUMER), []);
});

test("a data centre that shares all partitions is no alternative", (t) => {
  // "hall" and "port" share a partition, "town" has one of its own.
  const workers = fixture.workersAt({ hall: 2, port: 2, town: 3 });
  const { client } = clientOf(workers);
  const beside = (dataCentre: string) =>
    client.dataCentresBeside(["maps"], { request: "r", dataCentre });
  t.deepEqual(beside("hall"), ["town"]);
  t.deepEqual(beside("town").sort(), ["hall", "port"]);
});

test("two partitions of a data centre are owned by two hosts", async (t) => {
  const { client, contacted } = clientOf(
    fixture.workersAt({ hall: 5, town: 5 }),
  );
  for (const service of ["billing", "maps"]) {
    await client.reserve(
      bookQuestion(service, client.selectPartition(service, CONSUMER)),
    );
  }
  t.deepEqual([...contacted].sort(), ["town-1", "town-2"]);
});

test("items are computed by the next host if one fails, and locally at last", async (t) => {
  const silent = HOSTS.map((each) => each.host);
  const { client, contacted, local } = clientOf(
    fixture.workersAt({ hall: 1 }),
    silent,
  );
  await client.compute(makeQuestion("maps", "all"));
  t.is(new Set(contacted).size, 2);
  t.is(local.computed, 1);
});

test("a host that did not respond is not tried first for a while", async (t) => {
  const first = async () => {
    const { client, contacted } = clientOf(fixture.workersAt({ hall: 1 }));
    await client.compute(makeQuestion("maps", "all"));
    return contacted[0];
  };
  const lost = await first();
  const { client, contacted } = clientOf(fixture.workersAt({ hall: 1 }), [
    lost,
  ]);
  await client.compute(makeQuestion("maps", "all"));
  await client.compute(makeQuestion("maps", "all"));
  t.is(contacted.filter((host) => host === lost).length, 1);
  t.is(contacted.length, 3);
});

test("a host that does not respond loses only its own partition", async (t) => {
  const services = ["billing", "gear", "maps"];
  const endpoints = fixture.workersAt({ hall: 1 });
  const { client, contacted } = clientOf(endpoints, [], { services });
  for (const each of services) await client.compute(makeQuestion(each, "all"));
  const batchers = [...contacted];
  for (const [pos, lost] of services.entries()) {
    const other = clientOf(endpoints, [batchers[pos]], { services });
    await other.client.compute(makeQuestion(lost, "all"));
    for (const [kept, service] of services.entries()) {
      if (kept === pos) continue;
      other.contacted.length = 0;
      await other.client.compute(makeQuestion(service, "all"));
      t.deepEqual(other.contacted, [batchers[kept]]);
    }
  }
});

test("no wait is assumed if no host answers a reservation", async (t) => {
  const silent = HOSTS.map((each) => each.host);
  const { client, contacted } = clientOf(
    fixture.workersAt({ hall: 1 }),
    silent,
  );
  const estimate = await client.reserve(bookQuestion("maps", "all"));
  const [host] = contacted;
  t.deepEqual(estimate, { host, wait: 0, work: 0 });
});

const RESULTS = [{ piece: 0, handle: "handle-1" }];

const REPLIES: [string, Omit<schema.MadeReply, "type">, boolean][] = [
  ["its own request", {
    service: "maps",
    request: "r",
    stage: 0,
    results: RESULTS,
  }, true],
  ["a host of an earlier release", { results: RESULTS }, true],
  ["another request", { request: "s", results: RESULTS }, false],
  ["another stage", { stage: 1, results: RESULTS }, false],
  ["another service", { service: "billing", results: RESULTS }, false],
  ["other pieces", { results: [{ piece: 3, handle: "handle-1" }] }, false],
];

for (const [name, reply, isUsed] of REPLIES) {
  // Guards against inputs of another request.
  test(`results of ${name} are ${isUsed ? "" : "not "}used`, async (t) => {
    const endpoints = fixture.workersAt({ hall: 1 });
    const made = { type: "made" as const, ...reply };
    const { client, local } = clientOf(endpoints, [], { made });
    const results = await client.compute(makeQuestion("maps", "all"));
    t.deepEqual(results, isUsed ? RESULTS : []);
    t.is(local.computed, isUsed ? 0 : 1);
  });
}
