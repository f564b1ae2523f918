import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as endpoints from "./mod.ts";

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
    const announcement = {
      service: "books",
      kind: "engine" as const,
      url: "http://127.0.0.1:9",
      dataCentre: "west",
      incarnation,
    };
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
