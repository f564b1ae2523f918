/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as gateway from "./mod.ts";

const ENGINE = { slots: 64, tokens: 100_000, fetchRate: 2000 };

/** A prompt with the given shared part and an unshared one. */
function createPrompt(shared: string, tokens = 5000) {
  const parts = [{ id: shared, tokens }, { id: `${shared}-own`, tokens: 500 }];
  const inputTokens = tokens + 500;
  return { model: "m", inputTokens, outputTokens: 100, parts };
}

interface FleetOptions {
  readonly hosts?: number;
  readonly engines?: number;
  readonly lost?: string[];
  /** Processor capacity of a host by its number, in cores. */
  readonly capacityOf?: (number: number) => number;
  /** Versions of the engines, in turn. */
  readonly versions?: readonly string[];
  /** Whether owners know no condition on the version, as those of an earlier
   * release. */
  readonly isEarlier?: boolean;
}

/** Hosts of one data centre that place prompts on its engines; calls between
 * hosts take no time. */
function createFleet(
  {
    hosts = 20,
    engines = 6,
    lost = [],
    capacityOf,
    versions = ["v1"],
    isEarlier = false,
  }: FleetOptions = {},
) {
  const clock = new runtime.FakeClock();
  const names = Array.from({ length: hosts }, (_, number) => ({
    host: `h-${number}`,
    dataCentre: "town",
    ...(capacityOf && { capacity: capacityOf(number) }),
  }));
  const entries = Array.from({ length: engines }, (_, number) =>
    fixture.entry({
      id: `i-${number}`,
      service: "models",
      address: `10.0.0.${number}:80`,
      version: versions[number % versions.length],
    }));
  const service = () => ({ name: "models", connections: 10, engine: ENGINE });
  const asked: string[] = [];
  const members = new Map(names.map(({ host: self }) => {
    const pool = gateway.EndpointPool.create();
    pool.update(entries, service);
    const placement = gateway.Placement.create({
      self,
      dataCentre: "town",
      clock,
      random: runtime.createRandom(7),
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      pool,
      dependencies: () => [],
      hosts: () => names,
      busyHosts: () => [],
      calls: {
        ask(to, question) {
          asked.push(to);
          if (lost.includes(to)) return Promise.reject(new Error("silent"));
          const { placement } = members.get(to)!;
          const { version, ...rest } = question as schema.PlaceQuestion;
          const known = isEarlier ? rest : { version, ...rest };
          return Promise.resolve(placement.answerQuery(known, self));
        },
        cast(to, notice) {
          const { uses } = notice as schema.UseNotice;
          members.get(to)!.pool.recordRemoteLoad(self, uses, clock.now());
        },
      },
    });
    return [self, { pool, placement }];
  }));
  const place = (
    host: string,
    prompt: ReturnType<typeof createPrompt>,
    { isSent = true, tried = [] as string[], version }: {
      isSent?: boolean;
      tried?: string[];
      version?: string;
    } = {},
  ) =>
    members.get(host)!.placement.place({
      service: "models",
      prompt,
      objective: 1500,
      tried,
      version,
      isSent,
    });
  return { clock, members, asked, place };
}

// Guards against overloaded engines in a large fleet: each of hundreds of hosts
// sends an engine a few percent of its requests, so a host that knows its own
// calls only chooses engines that are busy with the calls of others.
test("prompts of many hosts with one shared part are spread over engines", async (t) => {
  const { place } = createFleet();
  const chosen = new Set<string>();
  for (let number = 0; number < 6; number++) {
    const prompt = { ...createPrompt("part"), inputTokens: 15_000 };
    const placed = await place(`h-${number}`, prompt);
    chosen.add(placed!.engine.identity.id);
  }
  t.true(chosen.size > 3, `${chosen.size} engines`);
});

test("a shared part cached for one host is not prefilled again for another", async (t) => {
  const { place } = createFleet();
  const first = await place("h-1", createPrompt("part"));
  const second = await place("h-2", createPrompt("part"));
  const [one, other] = [first!, second!].map(({ engine }) => engine.identity);
  t.true(second!.cacheMiss.prefillTokens <= 500);
  t.true(
    other.id === one.id || second!.cacheMiss.source?.identity.id === one.id,
  );
});

test("a forecast reserves no load", async (t) => {
  const { place } = createFleet();
  const forecast = await place("h-1", createPrompt("part"), { isSent: false });
  const after = await place("h-2", createPrompt("part"));
  t.is(forecast!.pendingWork.tokens, after!.pendingWork.tokens);
});

test("an engine that was already called is not chosen again", async (t) => {
  const { place } = createFleet();
  const first = await place("h-1", createPrompt("part"));
  const tried = [first!.engine.identity.id];
  const second = await place("h-1", createPrompt("part"), { tried });
  t.false(tried.includes(second!.engine.identity.id));
});

test("if the owner does not answer, a host chooses itself, then asks another owner", async (t) => {
  const { place, asked } = createFleet();
  await place("h-1", createPrompt("part"));
  const [owner] = asked;
  const { place: placeWithout, asked: tried } = createFleet({ lost: [owner] });
  const asker = owner === "h-1" ? "h-2" : "h-1";
  const alone = await placeWithout(asker, createPrompt("part"));
  t.is(alone!.source, "fallback");
  await placeWithout(asker, createPrompt("part"));
  t.is(tried[0], owner);
  t.not(tried[1], owner);
});

// Guards against prompts of all hosts that wait for one without processor time.
test("engines are chosen by hosts with much processor capacity", async (t) => {
  const { asked, place } = createFleet({
    engines: 64,
    capacityOf: (number) => number < 15 ? 0.243 : 0.81,
  });
  for (let number = 0; number < 40; number++) {
    await place("h-0", createPrompt(`part ${number}`));
  }
  t.true(asked.length > 0);
  t.deepEqual(asked.filter((host) => Number(host.slice(2)) < 15), []);
});

test("prompts with a popular shared part leave a busy partition", async (t) => {
  const { place } = createFleet({ engines: 40 });
  const engines = new Map<string, number>();
  for (let number = 0; number < 60; number++) {
    const placed = await place(`h-${number % 20}`, {
      ...createPrompt("hot"),
      inputTokens: 25_000,
    });
    const { id } = placed!.engine.identity;
    engines.set(id, (engines.get(id) ?? 0) + 1);
  }
  t.true(engines.size > 16, `${engines.size} engines`);
});

// Guards against an owner that places all prompts on a crashed engine: it has
// no load, so it looks idle, while the calls of the other hosts fail.
test("an engine that fails the calls of several hosts is not chosen", async (t) => {
  const { clock, place, members, asked } = createFleet();
  const placed = await place("h-1", createPrompt("part"));
  const [owner = "h-1"] = asked;
  const { id } = placed!.engine.identity;
  clock.advance(300);
  const askers = ["h-2", "h-3", "h-4", "h-5"].filter((host) => host !== owner);
  for (const host of askers) {
    const use = { engine: id, tokens: 0, streams: 0, read: [] };
    members.get(host)!.placement.sendLoad([{ ...use, verdicts: ["bad"] }]);
  }
  for (const host of askers) {
    const next = await place(host, createPrompt("part"));
    t.not(next!.engine.identity.id, id);
  }
});

test("an engine is chosen even if all are ejected", async (t) => {
  const { place, members } = createFleet();
  for (const engine of members.get("h-1")!.pool.endpointsOf("models")) {
    for (let failures = 0; failures < 3; failures++) {
      engine.recordHealth("bad", 0);
    }
  }
  const placed = await place("h-1", createPrompt("part"));
  t.is(placed?.source, "fallback");
});

function createLoads(engine: string, firsts?: schema.FirstEvent[]) {
  return [{ engine, tokens: 4000, streams: 2, read: [], firsts }];
}

test("load updates go to all hosts of a small fleet and to the owner in a large one", (t) => {
  const heardBy = (hosts: number) => {
    const { members, clock } = createFleet({ hosts });
    const { placement, pool } = members.get("h-0")!;
    const [engine] = pool.endpointsOf("models");
    placement.sendLoad(createLoads(engine.identity.id));
    return [...members].filter(([, member]) => {
      const [same] = member.pool.endpointsOf("models");
      return same.remoteLoad.total(clock.now()).tokens > 0;
    }).length;
  };
  t.is(heardBy(12), 11);
  t.true(heardBy(30) <= 1);
});

test("an owner learns from the first events of calls that it placed", async (t) => {
  const { place, members, asked } = createFleet();
  const placed = await place("h-1", createPrompt("part"));
  const [owner = "h-1"] = asked;
  const { id } = placed!.engine.identity;
  const engine = members.get(owner)!.pool.get(id)!;
  const before = engine.predictFirstEvent(5000, 0);
  const asker = members.get(owner === "h-2" ? "h-3" : "h-2")!;
  for (let count = 0; count < 20; count++) {
    const firsts = [{ work: { tokens: 5500, streams: 1 }, took: 900 }];
    asker.placement.sendLoad(createLoads(id, firsts));
  }
  t.true(engine.predictFirstEvent(5000, 0) > 2 * before);
});

// Guards against a log line without the value that decided a placement.
test("an owner names the slowness by which it chose, while its service is uneven", async (t) => {
  const { place, members } = createFleet();
  const even = await place("h-1", createPrompt("part"));
  t.is(even!.slowness, 1);
  for (const { pool } of members.values()) {
    pool.endpointsOf("models").forEach((engine, index) => {
      const ratio = index === 0 ? 1 : 2;
      for (let at = -19_000; at <= 0; at += 1000) {
        engine.recordSlowness(ratio, at);
      }
    });
  }
  const tried = ["i-0"];
  const uneven = await place("h-1", createPrompt("part"), { tried });
  t.true(uneven!.slowness > 1.6, `${uneven!.slowness}`);
});

// Guards against placements by an owner that has not received the announcement
// of an engine that another host has.
test("an engine that announced its departure to a host gets none of its prompts", async (t) => {
  const { place, members, asked, clock } = createFleet();
  const prompt = createPrompt("part");
  await place("h-1", prompt);
  // The reservation of the first prompt expires; its shared part stays cached.
  clock.advance(300);
  const asker = asked.includes("h-2") ? "h-3" : "h-2";
  const placed = await place(asker, prompt, { isSent: false });
  t.is(placed!.source, "owner");
  const { id } = placed!.engine.identity;
  members.get(asker)!.pool.get(id)!.announcements.recordLeaving(clock.now());
  const next = await place(asker, prompt, { isSent: false });
  t.not(next!.engine.identity.id, id);
});

for (const isEarlier of [false, true]) {
  const owners = isEarlier ? "of an earlier release" : "of other hosts";
  // Guards against streams of two versions: the owner of a partition placed the
  // call that continues a stream at any engine.
  test(`engines are placed by version, also by owners ${owners}`, async (t) => {
    const versions = ["v1", "v2"];
    const { place } = createFleet({ versions, isEarlier });
    for (let number = 0; number < 20; number++) {
      const version = versions[number % 2];
      const prompt = createPrompt(`part-${number}`);
      const placed = await place(`h-${number}`, prompt, { version });
      t.is(placed?.engine.identity.version, version);
    }
  });
}

test("no engine is placed for a version that is unknown or gone", async (t) => {
  const { place } = createFleet({ versions: ["v1", ""] });
  for (const version of ["", "v2"]) {
    t.is(await place("h-1", createPrompt("part"), { version }), undefined);
  }
});
