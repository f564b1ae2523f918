import test from "ava";
import type * as event from "../request/event.ts";
import * as runtime from "../runtime/mod.ts";
import * as router from "./router.ts";

function endpoint(id: string, service: string): event.Endpoint {
  const place = { dataCentre: "here", slots: 1, state: "ready" as const };
  return { id, service, kind: "plain", role: "both", ...place };
}

function call() {
  const prompt = { work: 10, prefill: 0, prefix: [] };
  return { ...prompt, role: "both" as const, avoid: [], probe: false };
}

test("chooses among a service's endpoints as they come and go", (t) => {
  const random = runtime.createRandom(1);
  const instance = router.Router.create({ dataCentre: "here", random });
  const list = [endpoint("a", "billing"), endpoint("b", "gear-log")];
  instance.update({ type: "endpoints", endpoints: list }, 0);
  t.is(instance.choose("billing", call(), 0)?.endpoint, "a");
  const moved = [endpoint("b", "billing")];
  instance.update({ type: "endpoints", endpoints: moved }, 1);
  t.is(instance.choose("billing", call(), 1)?.endpoint, "b");
  t.is(instance.choose("gear-log", call(), 1), undefined);
});

test("counts a reported load as load of its endpoint", (t) => {
  const random = runtime.createRandom(1);
  const instance = router.Router.create({ dataCentre: "here", random });
  instance.update({ type: "endpoints", endpoints: [endpoint("a", "x")] }, 0);
  const load = { running: 1, waiting: 0, kvUsed: 0, at: 0 };
  instance.update({ type: "load", endpoint: "a", load }, 0);
  t.is(instance.choose("x", call(), 0), undefined);
});

test("grants hedges by the policy table and retries a fixed share", (t) => {
  const random = runtime.createRandom(1);
  const instance = router.Router.create({ dataCentre: "here", random });
  for (let count = 0; count < 20; count++) instance.deposit("x", 0.5, 0);
  const { retryBudget: retries, hedgeBudget: spend } = instance.service("x", 0);
  t.is(spend.available(0), 10);
  t.true(Math.abs(retries.available(0) - 3) < 1e-9);
});

test("dumps the state of each service as plain JSON", (t) => {
  const random = runtime.createRandom(1);
  const instance = router.Router.create({ dataCentre: "here", random });
  instance.update({ type: "endpoints", endpoints: [endpoint("a", "x")] }, 0);
  instance.service("x", 0).group.startCall("a", [], 0);
  const dump = JSON.parse(JSON.stringify(instance.dump(0)));
  t.like(dump, { x: { endpoints: 1, ejected: [], utilisation: 1 } });
});

test("invalidates an endpoint's prefix entries when it restarts", (t) => {
  const random = runtime.createRandom(1);
  const instance = router.Router.create({ dataCentre: "here", random });
  const announce = (generation: number) => {
    const described = { ...endpoint("a", "x"), generation };
    instance.update({ type: "endpoints", endpoints: [described] }, 0);
  };
  const holders = () =>
    instance.service("x", 0).group.prefixIndex.holders(["p"], 0);
  announce(1);
  instance.service("x", 0).group.startCall("a", ["p"], 0);
  announce(1);
  t.is(holders().length, 1);
  announce(2);
  t.deepEqual(holders(), []);
});
