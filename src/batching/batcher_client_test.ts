/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as fixture from "./fixture.ts";
import * as makers from "./batcher_client.ts";
import type * as works from "./task.ts";

function host(name: string, dataCentre: string) {
  return { host: name, dataCentre };
}

const HOSTS = [
  host("hall-1", "hall"),
  host("hall-2", "hall"),
  host("town-1", "town"),
  host("town-2", "town"),
];

/** A maker on the host `me`, which is no host of callers; those in `silent` do
 * not answer. */
function makerOf(
  endpoints: readonly works.Worker[],
  silent: readonly string[] = [],
  services: readonly string[] = ["billing", "maps"],
) {
  const asked: string[] = [];
  const clock = new runtime.FakeClock();
  const own = { booked: 0, made: 0 };
  const maker = makers.BatcherClient.create({
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
        asked.push(to);
        if (silent.includes(to)) return Promise.reject(new Error("silent"));
        return Promise.resolve(
          type === "book"
            ? { type: "booked", wait: 7, work: 3 }
            : { type: "made", results: [] },
        );
      },
      cast: (to) => void asked.push(to),
    },
    batcher: {
      compute() {
        own.made++;
        return Promise.resolve([]);
      },
    } as unknown as makers.BatcherClientOptions["batcher"],
  });
  return { maker, asked, own };
}

function booking(service: string, cell: string): schema.BookQuestion {
  const rest = { request: "r", stage: 0, pieces: 1, slack: 500, rank: 0 };
  return { type: "book", service, cell, ...rest };
}

function making(service: string, cell: string): schema.MakeQuestion {
  const { slack: _, ...rest } = booking(service, cell);
  return { ...rest, type: "make", pieces: [0], bytes: 1, remaining: 1000 };
}

const WANTED = { request: "r", dataCentre: "town" };

test("a host of a cell's data centre batches for it", async (t) => {
  const { maker, asked } = makerOf(fixture.workersAt({ hall: 5, town: 5 }));
  const cell = maker.selectPartition("maps", WANTED);
  t.is(cell, "town/0.1");
  t.deepEqual(await maker.reserve(booking("maps", cell)), {
    type: "booked",
    wait: 7,
    work: 3,
  });
  t.regex(asked[0], /^town/);
});

test("two cells of a data centre are batched by two hosts", async (t) => {
  const { maker, asked } = makerOf(fixture.workersAt({ hall: 5, town: 5 }));
  for (const service of ["billing", "maps"]) {
    await maker.reserve(
      booking(service, maker.selectPartition(service, WANTED)),
    );
  }
  t.deepEqual([...asked].sort(), ["town-1", "town-2"]);
});

test("other hosts make pieces when one is silent, the own one at last", async (t) => {
  const silent = HOSTS.map((each) => each.host);
  const { maker, asked, own } = makerOf(fixture.workersAt({ hall: 1 }), silent);
  await maker.compute(making("maps", "all"));
  t.is(new Set(asked).size, 2);
  t.is(own.made, 1);
});

test("a host that was silent is left out for a while", async (t) => {
  const first = async () => {
    const { maker, asked } = makerOf(fixture.workersAt({ hall: 1 }));
    await maker.compute(making("maps", "all"));
    return asked[0];
  };
  const lost = await first();
  const { maker, asked } = makerOf(fixture.workersAt({ hall: 1 }), [lost]);
  await maker.compute(making("maps", "all"));
  await maker.compute(making("maps", "all"));
  t.is(asked.filter((host) => host === lost).length, 1);
  t.is(asked.length, 3);
});

test("leaving a host out moves no cell but its own", async (t) => {
  const services = ["billing", "gear", "maps"];
  const endpoints = fixture.workersAt({ hall: 1 });
  const { maker, asked } = makerOf(endpoints, [], services);
  for (const each of services) await maker.compute(making(each, "all"));
  const batchers = [...asked];
  for (const [pos, lost] of services.entries()) {
    const other = makerOf(endpoints, [batchers[pos]], services);
    await other.maker.compute(making(lost, "all"));
    for (const [kept, service] of services.entries()) {
      if (kept === pos) continue;
      other.asked.length = 0;
      await other.maker.compute(making(service, "all"));
      t.deepEqual(other.asked, [batchers[kept]]);
    }
  }
});

test("where nobody says when pieces would be made, nothing is assumed", async (t) => {
  const silent = HOSTS.map((each) => each.host);
  const { maker } = makerOf(fixture.workersAt({ hall: 1 }), silent);
  t.deepEqual(await maker.reserve(booking("maps", "all")), {
    wait: 0,
    work: 0,
  });
});
