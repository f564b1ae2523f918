import type * as ava from "ava";
import test from "ava";
import * as fc from "fast-check";
import type * as event from "../request/event.ts";
import * as runtime from "../runtime/mod.ts";
import * as choice from "./endpoint_choice.ts";
import * as finish from "./finish_time.ts";
import * as group from "./endpoint_group.ts";

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

function create(size: number, seed = 1): group.EndpointGroup {
  const random = runtime.createRandom(seed);
  const one = group.EndpointGroup.create({ dataCentre: "near", random });
  for (let pos = 0; pos < size; pos++) one.upsert(endpoint(`e${pos}`));
  return one;
}

function call(changes: Partial<choice.Call> = {}): choice.Call {
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

function busy(one: group.EndpointGroup, id: string, calls: number): void {
  for (let count = 0; count < calls; count++) one.startCall(id, [], 0);
}

test("chooses the least loaded of a small group", (t) => {
  const one = create(3);
  busy(one, "e0", 2);
  busy(one, "e2", 1);
  t.is(choice.choose(one, call(), 0)?.endpoint, "e1");
});

test("prefers its own data centre until load outweighs the way", (t) => {
  const one = create(1);
  one.upsert(endpoint("far", { dataCentre: "other" }));
  t.is(choice.choose(one, call(), 0)?.endpoint, "e0");
  busy(one, "e0", 2);
  t.is(choice.choose(one, call(), 0)?.endpoint, "far");
});

test("follows the prefix, but not onto a loaded endpoint", (t) => {
  const one = create(4);
  const prefix = ["p0", "p1", "p2", "p3"];
  one.startCall("e2", prefix, 0);
  const wanted = call({ prefix, prefill: 80 });
  t.like(choice.choose(one, wanted, 0), { endpoint: "e2", blocks: 4 });
  busy(one, "e2", 2);
  t.not(choice.choose(one, wanted, 0)?.endpoint, "e2");
});

test("takes calls with a new prefix of one beginning to one place", (t) => {
  const homes = new Set<string>();
  for (let seed = 0; seed < 20; seed++) {
    const wanted = call({ prefix: ["start", `${seed}`], prefill: 80 });
    const found = choice.choose(create(5, seed), wanted, 0);
    homes.add(found?.endpoint ?? "");
  }
  t.is(homes.size, 1);
});

test("probes an ejected endpoint with what can be repeated only", (t) => {
  const one = create(3);
  for (let count = 0; count < 3; count++) {
    one.startCall("e0", [], 0);
    one.endCall("e0", { observation: { ok: false } }, 0);
  }
  t.is(choice.choose(one, call({ probe: true }), 3000)?.endpoint, "e0");
  for (let count = 0; count < 50; count++) {
    t.not(choice.choose(one, call(), 3000)?.endpoint, "e0");
  }
});

test("finds the one endpoint with room, and again when a report fades", (t) => {
  const one = create(200);
  for (const id of one.ids()) {
    one.reportLoad(id, { running: 4, waiting: 2, kvUsed: 0, at: 0 }, 0);
  }
  t.is(choice.choose(one, call(), 0), undefined);
  one.reportLoad("e77", { running: 1, waiting: 0, kvUsed: 0, at: 10 }, 10);
  t.is(choice.choose(one, call(), 10)?.endpoint, "e77");
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
    const one = create(24);
    const sent: string[] = [];
    for (const [count, taken] of steps.entries()) {
      const now = count * 50;
      if (taken.type === "end") {
        const id = sent.shift();
        if (id) one.endCall(id, { observation: { ok: taken.ok } }, now);
      } else if (taken.type === "choose") {
        const found = choice.choose(one, call({ probe: taken.probe }), now);
        if (found === undefined) continue;
        const member = one.member(found.endpoint);
        t.is(member?.endpoint.state, "ready");
        t.true(member !== undefined && member.load.ownCalls < 4);
        t.true(member !== undefined && member.load.predict(now) < 5);
        const state = one.outliers.state(found.endpoint);
        t.true(taken.probe || state === "used" || state === "returning");
        one.startCall(found.endpoint, [], now);
        sent.push(found.endpoint);
      } else if (taken.type === "report") {
        const load = { running: taken.running, waiting: 0, kvUsed: 0, at: now };
        one.reportLoad(`e${taken.pos}`, load, now);
      } else if (taken.type === "leave") one.remove(`e${taken.pos}`);
      else {
        const state = taken.type === "drain" ? "draining" : "ready";
        one.upsert(endpoint(`e${taken.pos}`, { state }));
      }
    }
    let total = 0;
    for (const id of one.ids()) {
      const member = one.member(id);
      total += (member?.load.ownCalls ?? 0) + (member?.otherHostCalls ?? 0);
    }
    t.is(one.totalCalls, total);
  }));
});

/** The naive twin: all endpoints with room and their predicted finishes. */
function scan(one: group.EndpointGroup): choice.Choice[] {
  const found: choice.Choice[] = [];
  for (const id of one.ids()) {
    const load = one.member(id)?.load.ownCalls ?? 4;
    if (load >= 4) continue;
    const idle = { latency: 0, work: 100, saved: 0, kvUsed: 0 };
    const usual = { slots: 4, service: 100, slowness: 1 };
    const predicted = finish.predict({ ...idle, ...usual, load });
    found.push({ endpoint: id, finish: predicted, blocks: 0 });
  }
  return found;
}

type Pick = (
  one: group.EndpointGroup,
  scanned: choice.Choice[],
) => choice.Choice | undefined;

const picks: Record<string, Pick> = {
  sampled: (one) => choice.choose(one, call(), 0),
  best: (_, scanned) => scanned.toSorted((a, b) => a.finish - b.finish)[0],
  random: (one, scanned) => scanned[one.random.below(scanned.length)],
};

/** Mean finish, in a run of its own, at 70% of the slots in use. */
function meanFinish(t: ava.ExecutionContext, size: number, pick: Pick): number {
  const one = create(size, 5);
  const random = runtime.createRandom(9);
  const running: string[] = [];
  let total = 0;
  for (let count = 0; count < 4000; count++) {
    const scanned = scan(one);
    const found = pick(one, scanned);
    t.is(found === undefined, scanned.length === 0);
    if (found === undefined) break;
    const same = scanned.find((other) => other.endpoint === found.endpoint);
    t.is(same?.finish, found.finish);
    total += found.finish;
    one.startCall(found.endpoint, [], 0);
    running.push(found.endpoint);
    if (running.length <= 0.7 * 4 * size) continue;
    for (const id of running.splice(random.below(running.length), 1)) {
      one.endCall(id, {}, 0);
    }
  }
  return total / 4000;
}

test("predicts as a scan does and finishes nearly as soon", (t) => {
  for (const size of [6, 300]) {
    const sampled = meanFinish(t, size, picks.sampled);
    const best = meanFinish(t, size, picks.best);
    const random = meanFinish(t, size, picks.random);
    t.log(`${size}: sampled ${sampled}, best ${best}, random ${random}`);
    t.true(sampled < 1.05 * best);
    t.true(sampled <= random);
  }
});

test("finds room exactly when a scan does", (t) => {
  const one = create(40, 3);
  for (let count = 0; count < 160; count++) {
    const found = choice.choose(one, call(), 0);
    t.not(found, undefined);
    one.startCall(found?.endpoint ?? "", [], 0);
  }
  t.is(choice.choose(one, call(), 0), undefined);
});
