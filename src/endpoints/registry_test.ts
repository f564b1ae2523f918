import test from "ava";
import * as fakeFleet from "../membership/fake_fleet.ts";
import * as runtime from "../runtime/mod.ts";
import type * as announcements from "../schema/endpoint_types.ts";
import * as fakeHost from "./fake_host.ts";
import * as endpoints from "./mod.ts";

const IDS = ["h1", "h2", "h3", "h4", "h5", "h6"];
const LEASE = 1500;

/** Six hosts in two data centres, and endpoints that renew through random hosts
 * of their data centre. */
class World {
  readonly fleet: fakeFleet.FakeFleet<fakeHost.FakeHost>;
  readonly #random: runtime.Random;
  readonly #endpoints = new Map<string, announcements.Announcement>();

  constructor(seed: number) {
    this.#random = runtime.createRandom(seed);
    this.fleet = new fakeFleet.FakeFleet(this.#random);
    IDS.forEach((id) => this.start(id, 1));
    this.advance(5000);
  }

  start(id: string, incarnation: number): void {
    const number = Number(id.slice(1));
    const seed = number + incarnation * 100;
    const dataCentre = dataCentreOf(id);
    const seeds = ["h1", "h4"];
    const options = { id, dataCentre, incarnation, seeds, lease: LEASE, seed };
    this.fleet.start(id, new fakeHost.FakeHost(options));
  }

  /** Starts an endpoint, or changes its announcement. */
  serve(id: string, change: Partial<announcements.Announcement> = {}): void {
    const announcement = { ...announcementOf(id), ...change };
    const first = !this.#endpoints.has(id);
    this.#endpoints.set(id, announcement);
    if (first) this.#renew(id);
    else this.announce(id, announcement);
  }

  announce(
    id: string,
    announcement: announcements.Announcement,
    host = this.#pickHost(announcement.dataCentre),
  ): void {
    this.fleet.call(host, (program, now) => {
      return program.announce(id, announcement, now);
    });
  }

  /** Stops an endpoint without a leave. */
  kill(id: string): void {
    this.#endpoints.delete(id);
  }

  /** Stops an endpoint with a leave. */
  leave(id: string): void {
    const { dataCentre, incarnation } = this.#endpoints.get(id)!;
    this.kill(id);
    this.fleet.call(this.#pickHost(dataCentre), (program, now) => {
      return program.stepRegistry({ type: "depart", id, incarnation }, now);
    });
  }

  advance(ms: number): void {
    this.fleet.run(ms);
  }

  /** Serving endpoints according to the hosts in `ids`; differing views are
   * joined by "or". */
  serving(ids = this.fleet.ids): string {
    const views = ids.map((id) => this.servingAt(id));
    return [...new Set(views)].join(" or ");
  }

  servingAt(id: string): string {
    const { serving } = this.fleet.get(id).registry;
    return serving
      .map(({ id, phase }) => phase === "ready" ? id : `${id}:${phase}`)
      .sort()
      .join(",");
  }

  holderOf(endpoint: string): string {
    return this.fleet.ids.find((id) => {
      return this.fleet.get(id).registry.heldLeases.includes(endpoint);
    })!;
  }

  #renew(id: string): void {
    const announcement = this.#endpoints.get(id);
    if (announcement === undefined) return;
    this.announce(id, announcement);
    this.fleet.clock.after(LEASE / 3, () => this.#renew(id));
  }

  /** Picks a host of a data centre at random. */
  #pickHost(dataCentre: string): string {
    const hosts = this.fleet.ids.filter((id) =>
      dataCentreOf(id) === dataCentre
    );
    return hosts[this.#random.below(hosts.length)];
  }
}

function dataCentreOf(id: string): string {
  return Number(id.slice(1)) <= 3 ? "west" : "east";
}

function announcementOf(id: string): announcements.Announcement {
  const dataCentre = id.startsWith("e") ? "east" : "west";
  const url = `http://10.0.0.1/${id}`;
  return { service: "lm", kind: "engine", url, dataCentre, incarnation: 1 };
}

function expiryCount(world: World): number {
  return world.fleet.programs
    .flatMap(({ changes }) => changes)
    .filter(({ type }) => type === "expired").length;
}

test("joins, drains and leaves reach all hosts within 2 seconds", (t) => {
  const world = new World(1);
  world.serve("w1");
  world.serve("e1");
  world.advance(2000);
  t.is(world.serving(), "e1,w1");
  world.serve("w1", { state: "draining" });
  world.advance(2000);
  t.is(world.serving(), "e1,w1:draining");
  world.leave("w1");
  world.advance(2000);
  t.is(world.serving(), "e1");
});

test("an endpoint that renews through changing hosts does not expire", (t) => {
  const world = new World(2);
  world.serve("w1");
  world.advance(60_000);
  t.is(world.serving(), "w1");
  t.is(expiryCount(world), 0);
});

test("an endpoint that stops renewing expires at all hosts", (t) => {
  const world = new World(3);
  world.serve("w1");
  world.advance(10_000);
  world.kill("w1");
  world.advance(LEASE + 2000);
  t.is(world.serving(), "");
  world.serve("w1");
  world.advance(2000);
  t.is(world.serving(), "w1");
});

// Guards against a sound endpoint that stays away after a silence which outlasts
// its lease.
test("an endpoint that renews again after 1.5 s is serving within a second", (t) => {
  let expired = 0;
  for (let phase = 0; phase < 500; phase += 50) {
    const world = new World(9);
    world.serve("w1");
    world.advance(10_000 + phase);
    world.kill("w1");
    world.advance(1500);
    world.serve("w1");
    world.advance(1000);
    t.is(world.serving(), "w1", `phase ${phase}`);
    expired += Number(expiryCount(world) > 0);
  }
  t.log(`${expired} of 10 silences outlasted the lease`);
});

test("an endpoint does not expire when its lease holder crashes", (t) => {
  const world = new World(4);
  world.serve("w1");
  world.advance(10_000);
  world.fleet.crash(world.holderOf("w1"));
  world.advance(30_000);
  t.is(world.serving(), "w1");
  t.is(expiryCount(world), 0);
});

test("an endpoint that crashes together with its lease holder expires", (t) => {
  const world = new World(5);
  world.serve("w1");
  world.advance(10_000);
  world.fleet.crash(world.holderOf("w1"));
  world.kill("w1");
  world.advance(15_000);
  t.is(world.serving(), "");
});

test("a late renewal does not undo a leave or a drain", (t) => {
  const world = new World(6);
  world.serve("w1");
  world.serve("w2");
  world.advance(5000);
  world.leave("w1");
  world.serve("w2", { state: "draining" });
  world.advance(2000);
  world.announce("w1", announcementOf("w1"));
  world.announce("w2", announcementOf("w2"));
  world.advance(1000);
  t.is(world.serving(), "w2:draining");
});

test("a restarted endpoint replaces its previous incarnation at once", (t) => {
  const world = new World(7);
  world.serve("w1", { incarnation: 5 });
  world.advance(5000);
  world.leave("w1");
  world.advance(100);
  world.serve("w1", { incarnation: 6 });
  world.advance(2000);
  t.is(world.serving(), "w1");
  world.announce("w1", { ...announcementOf("w1"), incarnation: 5 }, "h1");
  t.is(world.fleet.get("h1").answers.at(-1)?.type, "refuse");
});

test("an endpoint without an incarnation can rejoin after a delay", (t) => {
  const world = new World(8);
  world.serve("w1", { incarnation: undefined });
  world.advance(5000);
  world.leave("w1");
  world.advance(1000);
  world.serve("w1", { incarnation: undefined });
  world.advance(1000);
  t.is(world.serving(), "");
  world.advance(8000);
  t.is(world.serving(), "w1");
});

test("a partition between data centres does not expire live endpoints", (t) => {
  const world = new World(9);
  world.serve("w1");
  world.serve("e1");
  world.advance(5000);
  world.fleet.reaches = (from, to) => dataCentreOf(from) === dataCentreOf(to);
  world.advance(600_000);
  t.regex(world.servingAt("h1"), /w1/);
  t.regex(world.servingAt("h4"), /e1/);
  const lostAt = (id: string, endpoint: string) =>
    world.fleet.get(id).changes.filter((change) =>
      change.type === "expired" && change.id === endpoint
    ).length;
  world.fleet.reaches = () => true;
  world.advance(60_000);
  t.is(world.serving(), "e1,w1");
  for (const id of ["h1", "h2", "h3"]) t.is(lostAt(id, "w1"), 0);
  for (const id of ["h4", "h5", "h6"]) t.is(lostAt(id, "e1"), 0);
});

test("a host that restarts learns all endpoints", (t) => {
  const world = new World(10);
  for (let pos = 0; pos < 200; pos++) world.serve(`w${pos}`);
  world.advance(5000);
  const before = world.serving();
  world.start("h5", 2);
  world.advance(10_000);
  t.is(world.serving(), before);
  t.true(world.fleet.get("h5").registry.hasSynced);
});

test("a host that missed updates recovers by comparing replicas", (t) => {
  const world = new World(11);
  world.advance(5000);
  world.fleet.reaches = (_, to) => to !== "h6";
  world.serve("w1");
  world.advance(900);
  world.fleet.reaches = () => true;
  world.advance(8000);
  t.is(world.serving(), "w1");
});

// Regression: an expiry was refused for ever if the host that had declared it
// was no longer the lease holder.
test("the current lease holder confirms an expiry that another host declared", (t) => {
  const random = runtime.createRandom(1);
  const hosts = ["a", "b"].map((id) => {
    return { id, dataCentre: "west", draining: false };
  });
  const leaseHolders = endpoints.LeaseHolders.create(hosts);
  const ids = ["w1", "w2", "w3", "w4", "w5", "w6"];
  const id = ids.find((id) => leaseHolders.of(id, "west") === "b")!;
  const { incarnation, ...endpoint } = announcementOf(id);
  const entry: endpoints.Entry = {
    id,
    generation: incarnation!,
    phase: "ready",
    sequence: 0,
    endpoint,
  };
  const expired = { ...entry, expired: "gone" };
  let registry = endpoints.Registry.create({ host: "a", lease: LEASE, random });
  const step = (event: endpoints.Event) => {
    const { state, effects } = registry.step(event, 0);
    registry = state;
    return effects;
  };
  const receive = (from: string, update: endpoints.Entry) => {
    return step({
      type: "message",
      from,
      body: { type: "news", news: [update] },
    });
  };
  step({ type: "hosts", hosts, neighbours: ["b"] });
  receive("c", entry);
  const effects = receive("c", expired);
  t.is(registry.serving.length, 1);
  t.true(effects.some((effect) => {
    return effect.type === "send" && effect.to === "b" &&
      effect.body.type === "want";
  }));
  receive("b", expired);
  t.is(registry.serving.length, 0);
});
