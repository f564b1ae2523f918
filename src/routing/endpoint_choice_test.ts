import type * as ava from "ava";
import test from "ava";
import * as fc from "fast-check";
import type * as event from "../request/event.ts";
import * as runtime from "../runtime/mod.ts";
import * as endpointChoice from "./endpoint_choice.ts";
import * as finishTime from "./finish_time.ts";
import * as endpointGroup from "./endpoint_group.ts";

function endpoint(
  id: string,
  changes: Partial<event.Endpoint> = {},
): event.Endpoint {
  return {
    id,
    service: "lm",
    kind: "engine",
    dataCentre: "near",
    slots: 4,
    role: "both",
    state: "ready",
    ...changes,
  };
}

function create(size: number, seed = 1): endpointGroup.EndpointGroup {
  const random = runtime.createRandom(seed);
  const group = endpointGroup.EndpointGroup.create({
    dataCentre: "near",
    random,
  });
  for (let pos = 0; pos < size; pos++) group.upsert(endpoint(`e${pos}`));
  return group;
}

function call(changes: Partial<endpointChoice.Call> = {}): endpointChoice.Call {
  return {
    work: 100,
    prefill: 0,
    prefix: [],
    role: "both",
    avoid: [],
    probe: false,
    ...changes,
  };
}

function startCalls(
  group: endpointGroup.EndpointGroup,
  id: string,
  calls: number,
): void {
  for (let count = 0; count < calls; count++) group.startCall(id, [], 0);
}

test("chooses the least loaded endpoint of a small group", (t) => {
  const group = create(3);
  startCalls(group, "e0", 2);
  startCalls(group, "e2", 1);
  t.is(endpointChoice.choose(group, call(), 0)?.endpoint, "e1");
});

test("prefers its own data centre until load outweighs latency", (t) => {
  const group = create(1);
  group.upsert(endpoint("far", { dataCentre: "other" }));
  t.is(endpointChoice.choose(group, call(), 0)?.endpoint, "e0");
  startCalls(group, "e0", 2);
  t.is(endpointChoice.choose(group, call(), 0)?.endpoint, "far");
});

test("prefers a prefix holder unless it is loaded", (t) => {
  const group = create(4);
  const prefix = ["p0", "p1", "p2", "p3"];
  group.startCall("e2", prefix, 0);
  const wanted = call({ prefix, prefill: 80 });
  t.like(endpointChoice.choose(group, wanted, 0), {
    endpoint: "e2",
    blocks: 4,
  });
  startCalls(group, "e2", 2);
  t.not(endpointChoice.choose(group, wanted, 0)?.endpoint, "e2");
});

test("sends uncached prompts with the same beginning to one endpoint", (t) => {
  const homes = new Set<string>();
  for (let seed = 0; seed < 20; seed++) {
    const wanted = call({ prefix: ["start", `${seed}`], prefill: 80 });
    const found = endpointChoice.choose(create(5, seed), wanted, 0);
    homes.add(found?.endpoint ?? "");
  }
  t.is(homes.size, 1);
});

test("probes an ejected endpoint only with retryable calls", (t) => {
  const group = create(3);
  for (let count = 0; count < 3; count++) {
    group.startCall("e0", [], 0);
    group.endCall("e0", { observation: { ok: false } }, 0);
  }
  t.is(
    endpointChoice.choose(group, call({ probe: true }), 3000)?.endpoint,
    "e0",
  );
  for (let count = 0; count < 50; count++) {
    t.not(endpointChoice.choose(group, call(), 3000)?.endpoint, "e0");
  }
});

test("finds the only endpoint that a new report shows as available", (t) => {
  const group = create(200);
  for (const id of group.ids()) {
    group.reportLoad(id, { running: 4, waiting: 2, kvUsed: 0, at: 0 }, 0);
  }
  t.is(endpointChoice.choose(group, call(), 0), undefined);
  group.reportLoad("e77", { running: 1, waiting: 0, kvUsed: 0, at: 10 }, 10);
  t.is(endpointChoice.choose(group, call(), 10)?.endpoint, "e77");
});

const step = fc.oneof(
  fc.record({ type: fc.constant("choose" as const), probe: fc.boolean() }),
  fc.record({ type: fc.constant("end" as const), ok: fc.boolean() }),
  fc.record({ type: fc.constant("drain" as const), pos: fc.nat(30) }),
  fc.record({ type: fc.constant("leave" as const), pos: fc.nat(30) }),
  fc.record({ type: fc.constant("join" as const), pos: fc.nat(30) }),
  fc.record({
    type: fc.constant("report" as const),
    pos: fc.nat(30),
    running: fc.nat(6),
  }),
);

test("never chooses an absent, draining, full or ejected endpoint", (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 150 }), (steps) => {
    const group = create(24);
    const sent: string[] = [];
    for (const [count, taken] of steps.entries()) {
      const now = count * 50;
      if (taken.type === "end") {
        const id = sent.shift();
        if (id) group.endCall(id, { observation: { ok: taken.ok } }, now);
      } else if (taken.type === "choose") {
        const found = endpointChoice.choose(
          group,
          call({ probe: taken.probe }),
          now,
        );
        if (found === undefined) continue;
        const member = group.member(found.endpoint);
        t.is(member?.endpoint.state, "ready");
        t.true(member !== undefined && member.load.ownCalls < 4);
        t.true(member !== undefined && member.load.predict(now) < 5);
        const state = group.outliers.state(found.endpoint);
        t.true(taken.probe || state === "used" || state === "returning");
        group.startCall(found.endpoint, [], now);
        sent.push(found.endpoint);
      } else if (taken.type === "report") {
        const load = { running: taken.running, waiting: 0, kvUsed: 0, at: now };
        group.reportLoad(`e${taken.pos}`, load, now);
      } else if (taken.type === "leave") group.remove(`e${taken.pos}`);
      else {
        const state = taken.type === "drain" ? "draining" : "ready";
        group.upsert(endpoint(`e${taken.pos}`, { state }));
      }
    }
    let total = 0;
    for (const id of group.ids()) {
      const member = group.member(id);
      total += (member?.load.ownCalls ?? 0) + (member?.otherHostCalls ?? 0);
    }
    t.is(group.totalCalls, total);
  }));
});

/** Reference implementation: scans for all available endpoints and their
 * predicted finishes. */
function scan(group: endpointGroup.EndpointGroup): endpointChoice.Choice[] {
  const found: endpointChoice.Choice[] = [];
  for (const id of group.ids()) {
    const load = group.member(id)?.load.ownCalls ?? 4;
    if (load >= 4) continue;
    const idle = { latency: 0, work: 100, saved: 0, kvUsed: 0 };
    const usual = { slots: 4, service: 100, slowness: 1 };
    const predicted = finishTime.predict({ ...idle, ...usual, load });
    found.push({ endpoint: id, finish: predicted, blocks: 0 });
  }
  return found;
}

type Picker = (
  group: endpointGroup.EndpointGroup,
  scanned: endpointChoice.Choice[],
) => endpointChoice.Choice | undefined;

const pickers: Record<string, Picker> = {
  sampled: (group) => endpointChoice.choose(group, call(), 0),
  best: (_, scanned) => scanned.toSorted((a, b) => a.finish - b.finish)[0],
  random: (group, scanned) => scanned[group.random.below(scanned.length)],
};

/** Mean predicted finish of a separate run with 70% of the slots in use. */
function meanFinish(
  t: ava.ExecutionContext,
  size: number,
  pick: Picker,
): number {
  const group = create(size, 5);
  const random = runtime.createRandom(9);
  const running: string[] = [];
  let total = 0;
  for (let count = 0; count < 4000; count++) {
    const scanned = scan(group);
    const found = pick(group, scanned);
    t.is(found === undefined, scanned.length === 0);
    if (found === undefined) break;
    const same = scanned.find((other) => other.endpoint === found.endpoint);
    t.is(same?.finish, found.finish);
    total += found.finish;
    group.startCall(found.endpoint, [], 0);
    running.push(found.endpoint);
    if (running.length <= 0.7 * 4 * size) continue;
    for (const id of running.splice(random.below(running.length), 1)) {
      group.endCall(id, {}, 0);
    }
  }
  return total / 4000;
}

test("predicts as a full scan does and finishes nearly as early", (t) => {
  for (const size of [6, 300]) {
    const sampled = meanFinish(t, size, pickers.sampled);
    const best = meanFinish(t, size, pickers.best);
    const random = meanFinish(t, size, pickers.random);
    t.log(`${size}: sampled ${sampled}, best ${best}, random ${random}`);
    t.true(sampled < 1.05 * best);
    t.true(sampled <= random);
  }
});

test("finds an available endpoint until all slots are in use", (t) => {
  const group = create(40, 3);
  for (let count = 0; count < 160; count++) {
    const found = endpointChoice.choose(group, call(), 0);
    t.not(found, undefined);
    group.startCall(found?.endpoint ?? "", [], 0);
  }
  t.is(endpointChoice.choose(group, call(), 0), undefined);
});
