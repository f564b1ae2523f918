import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as fakeHost from "./fake_host.ts";
import * as endpoints from "./mod.ts";

function announcementOf(incarnation: number) {
  return {
    service: "books",
    kind: "engine" as const,
    url: "http://127.0.0.1:9",
    dataCentre: "west",
    incarnation,
  };
}

/** One host that takes announcements, leaves and news. */
class Host {
  #registry = endpoints.Registry.create({
    host: "h1",
    lease: 1500,
    random: runtime.createRandom(1),
  });

  get serving(): number {
    return this.#registry.serving.length;
  }

  step(event: endpoints.Event): endpoints.Effect[] {
    const { state, effects } = this.#registry.step(event, 0);
    this.#registry = state;
    return effects;
  }

  announce(incarnation: number): endpoints.Effect[] {
    const announcement = announcementOf(incarnation);
    return this.step({ type: "announce", id: "e1", announcement });
  }

  depart(incarnation?: number): void {
    this.step({ type: "depart", id: "e1", incarnation });
  }
}

test("a leave of an earlier run ends nothing, one of this run does", (t) => {
  const host = new Host();
  host.announce(5);
  host.announce(6);
  host.depart(5);
  t.is(host.serving, 1);
  host.depart(6);
  t.is(host.serving, 0);
});

test("a leave of a run that was not heard of ends that run only", (t) => {
  for (const first of [undefined, 5]) {
    const host = new Host();
    if (first !== undefined) host.announce(first);
    host.depart(6);
    t.is(host.serving, 0);
    const late = host.announce(6);
    t.true(late.some(({ type }) => type === "refuse"));
    host.announce(7);
    t.is(host.serving, 1);
  }
});

// Found by seed 367: a fake host without others was never told of itself.
test("a host that is alone ends the leases of endpoints", (t) => {
  const options = { id: "h1", dataCentre: "west", incarnation: 1, seed: 1 };
  const host = new fakeHost.FakeHost({ ...options, seeds: ["h1"], lease: 500 });
  host.wake(0);
  host.announce("e1", announcementOf(1), 10);
  t.is(host.registry.serving.length, 1);
  for (let now = 100; now < 5000; now += 100) host.wake(now);
  t.is(host.registry.serving.length, 0);
});
