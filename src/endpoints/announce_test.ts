import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as fakeHost from "./fake_host.ts";
import * as endpoints from "./mod.ts";

function announcementOf(incarnation: number) {
  return {
    service: "lm",
    kind: "engine" as const,
    url: "http://127.0.0.1:9",
    dataCentre: "west",
    incarnation,
  };
}

/** A single host with a registry. */
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

  leave(incarnation?: number): void {
    this.step({ type: "depart", id: "e1", incarnation });
  }
}

test("a leave of an earlier incarnation is ignored, one of the current incarnation is applied", (t) => {
  const host = new Host();
  host.announce(5);
  host.announce(6);
  host.leave(5);
  t.is(host.serving, 1);
  host.leave(6);
  t.is(host.serving, 0);
});

test("a leave of an unknown incarnation ends that incarnation only", (t) => {
  for (const first of [undefined, 5]) {
    const host = new Host();
    if (first !== undefined) host.announce(first);
    host.leave(6);
    t.is(host.serving, 0);
    const late = host.announce(6);
    t.true(late.some(({ type }) => type === "refuse"));
    host.announce(7);
    t.is(host.serving, 1);
  }
});

// Regression: a fake host without other hosts never passed itself to its
// registry, which then had no lease holder and expired nothing (fuzz seed 367).
test("a host without other hosts expires the leases of endpoints", (t) => {
  const options = { id: "h1", dataCentre: "west", incarnation: 1, seed: 1 };
  const host = new fakeHost.FakeHost({ ...options, seeds: ["h1"], lease: 500 });
  host.wake(0);
  host.announce("e1", announcementOf(1), 10);
  t.is(host.registry.serving.length, 1);
  for (let now = 100; now < 5000; now += 100) host.wake(now);
  t.is(host.registry.serving.length, 0);
});
