import test from "ava";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/membership_types.ts";
import * as fakeFleet from "./fake_fleet.ts";
import * as membership from "./mod.ts";

class Host implements fakeFleet.Program {
  membership: membership.Membership;
  wakeAt = 0;
  readonly changes: membership.Change[] = [];

  constructor(options: membership.Options) {
    this.membership = membership.Membership.create(options);
  }

  receive({ from, body }: runtime.Envelope, now: number) {
    const message = body as schema.MembershipMessage;
    return this.step({ type: "message", from, body: message }, now);
  }

  wake(now: number) {
    return this.step({ type: "wake" }, now);
  }

  step(event: membership.Event, now: number): fakeFleet.OutgoingMessage[] {
    const { state, effects } = this.membership.step(event, now);
    this.membership = state;
    return effects.flatMap((effect) => {
      if (effect.type === "wake") this.wakeAt = effect.at;
      if (effect.type === "notify") this.changes.push(effect.change);
      if (effect.type !== "send") return [];
      return [{ to: effect.to, channel: "membership", body: effect.body }];
    });
  }

  get died(): string[] {
    return this.changes
      .filter(({ type }) => type === "died")
      .map(({ member }) => member.id);
  }
}

type Fleet = fakeFleet.FakeFleet<Host>;

const HOUR = 3_600_000;
const IDS = ["h1", "h2", "h3", "h4", "h5", "h6"];

function fleetOf(seed: number, ids: readonly string[] = IDS): Fleet {
  const fleet: Fleet = new fakeFleet.FakeFleet(runtime.createRandom(seed));
  for (const id of ids) start(fleet, id, { incarnation: 1 });
  return fleet;
}

function start(
  fleet: Fleet,
  id: string,
  { incarnation }: { incarnation: number },
): void {
  const random = runtime.createRandom(incarnation * 1000 + Number(id.slice(1)));
  const dataCentre = `dc${Number(id.slice(1)) % 3}`;
  const self = { id, dataCentre, address: "127.0.0.1", port: 1, incarnation };
  fleet.start(id, new Host({ self, seeds: ["h1", "h2"], random }));
}

function liveAt(fleet: Fleet, id: string): string[] {
  return fleet.get(id).membership.live.map((member) => member.id);
}

function isConverged(fleet: Fleet): boolean {
  const running = fleet.ids.sort().join();
  const roots = new Set(
    fleet.programs.map(({ membership }) => membership.rootHash),
  );
  return roots.size === 1 &&
    fleet.ids.every((id) => liveAt(fleet, id).join() === running);
}

function deaths(fleet: Fleet): string[] {
  return fleet.programs.flatMap((host) => host.died);
}

test("hosts discover each other from two seeds", (t) => {
  const fleet = fleetOf(1);
  fleet.run(5000);
  t.true(isConverged(fleet));
  t.deepEqual(deaths(fleet), []);
});

test("a crashed host is suspected, then declared dead by all others", (t) => {
  const fleet = fleetOf(2);
  fleet.run(5000);
  fleet.crash("h3");
  fleet.run(2000);
  t.true(liveAt(fleet, "h1").includes("h3"));
  fleet.run(10_000);
  t.true(isConverged(fleet));
});

test("a host that restarts is known by its higher incarnation", (t) => {
  const fleet = fleetOf(3);
  fleet.run(5000);
  start(fleet, "h4", { incarnation: 2 });
  fleet.run(5000);
  t.true(isConverged(fleet));
  t.is(fleet.get("h1").membership.get("h4")?.incarnation, 2);
  t.deepEqual(deaths(fleet), []);
});

test("a host restarted with a lower incarnation still gets a higher one", (t) => {
  const fleet = fleetOf(4);
  fleet.run(5000);
  start(fleet, "h4", { incarnation: 9 });
  fleet.run(5000);
  start(fleet, "h4", { incarnation: 3 });
  fleet.run(20_000);
  t.true(isConverged(fleet));
  t.true(fleet.get("h1").membership.get("h4")!.incarnation > 9);
});

for (const end of ["leave", "crash"] as const) {
  test(`a host rejoins with its clock set back an hour after a ${end}`, (t) => {
    const fleet = fleetOf(4);
    fleet.run(5000);
    start(fleet, "h4", { incarnation: 2 * HOUR });
    fleet.run(5000);
    if (end === "leave") {
      fleet.call("h4", (host, now) => host.step({ type: "leave" }, now));
      fleet.run(100);
    }
    fleet.crash("h4");
    fleet.run(20_000);
    start(fleet, "h4", { incarnation: HOUR });
    fleet.run(2000);
    t.true(isConverged(fleet));
    t.is(fleet.get("h1").membership.get("h4")!.incarnation, 2 * HOUR + 1);
  });
}

test("drain and leave reach all hosts within 2 seconds", (t) => {
  const fleet = fleetOf(5);
  fleet.run(5000);
  fleet.call("h6", (host, now) => {
    return host.step({ type: "drain", reason: "update" }, now);
  });
  fleet.run(2000);
  t.true(
    fleet.programs.every(({ membership: view }) =>
      view.get("h6")?.drain === "update"
    ),
  );
  fleet.call("h6", (host, now) => host.step({ type: "leave" }, now));
  fleet.run(100);
  fleet.crash("h6");
  fleet.run(1900);
  t.true(isConverged(fleet));
  t.deepEqual(deaths(fleet), []);
});

test("indirect probes keep a host alive that lost one link", (t) => {
  const fleet = fleetOf(6);
  fleet.run(5000);
  fleet.reaches = (from, to) => ![from, to].every((id) => /h[12]/.test(id));
  fleet.run(60_000);
  t.deepEqual(deaths(fleet), []);
});

for (const clockStopped of [true, false]) {
  const clock = clockStopped ? "stopped" : "running";
  test(`a host paused with its clock ${clock} declares no other host dead`, (t) => {
    const fleet = fleetOf(7);
    fleet.run(5000);
    fleet.pause("h2");
    fleet.run(60_000);
    t.false(liveAt(fleet, "h1").includes("h2"));
    fleet.resume("h2", clockStopped);
    fleet.run(30_000);
    t.true(isConverged(fleet));
    t.deepEqual(fleet.get("h2").died, []);
  });
}

test("regions rejoin after a partition of an hour without further deaths", (t) => {
  const fleet = fleetOf(8);
  fleet.run(5000);
  const east = (id: string) => /h[123]/.test(id);
  fleet.reaches = (from, to) => east(from) === east(to);
  fleet.run(3_600_000);
  t.deepEqual(liveAt(fleet, "h1"), ["h1", "h2", "h3"]);
  t.deepEqual(liveAt(fleet, "h4"), ["h4", "h5", "h6"]);
  const before = deaths(fleet).length;
  fleet.reaches = () => true;
  fleet.run(60_000);
  t.true(isConverged(fleet));
  t.is(deaths(fleet).length, before);
});

test("a dead host is kept for two hours, longer than a partition may last", (t) => {
  const fleet = fleetOf(9);
  fleet.run(5000);
  fleet.crash("h5");
  fleet.run(3_600_000);
  t.is(fleet.get("h1").membership.get("h5")?.status, "dead");
  fleet.run(2 * 3_600_000);
  t.is(fleet.get("h1").membership.get("h5"), undefined);
});
