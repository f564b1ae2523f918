import test from "ava";
import * as fc from "fast-check";
import type * as schema from "../../schema/command_types.ts";
import * as table from "../table/mod.ts";
import * as claims from "./mod.ts";

const SEED = 5;
const LIMITS = {
  retentionMs: 10_000,
  maxCount: 3,
  maxTotalAnswerLength: 100,
  maxAnswerLength: 60,
};

function createClaim(
  id: string,
  changes: Partial<schema.ClaimCommand> = {},
): schema.ClaimCommand {
  return {
    type: "claim",
    id,
    key: "kivu/1",
    fingerprint: "f",
    host: "h1",
    incarnation: 1,
    lease: 5000,
    ...changes,
  };
}

function createSettle(
  token: string,
  changes: Partial<schema.SettleCommand> = {},
): schema.SettleCommand {
  return {
    type: "settle",
    id: `${token}-settle`,
    key: "kivu/1",
    token,
    outcome: "ran",
    answer: { status: 200, body: "booked" },
    ...changes,
  };
}

test("a key is granted to one claim and to its resends only", (t) => {
  const { claims: one, reply } = claims.Claims.create().claim(
    createClaim("a"),
    0,
  );
  t.deepEqual(reply, { type: "granted", token: "a" });
  t.deepEqual(one.claim(createClaim("a"), 1).reply, reply);
  t.deepEqual(one.claim(createClaim("b"), 1).reply, {
    type: "held",
    host: "h1",
  });
  t.deepEqual(one.claim(createClaim("b", { fingerprint: "g" }), 1).reply, {
    type: "mismatch",
  });
});

test("a settled claim returns its answer, also after its lease has expired", (t) => {
  const granted = claims.Claims.create().claim(createClaim("a"), 0).claims;
  const { claims: settled, reply } = granted.settle(createSettle("a"));
  t.is(reply.type, "settled");
  t.deepEqual(settled.claim(createClaim("b"), 9000).reply, {
    type: "answered",
    answer: { status: 200, body: "booked" },
  });
});

test("the outcome is unknown when the holder restarts or its lease expires", (t) => {
  const granted = claims.Claims.create().claim(createClaim("a"), 0).claims;
  const ended = { type: "ended", outcome: "unknown" };
  const restarted = createClaim("b", { incarnation: 2 });
  t.deepEqual(granted.claim(restarted, 1).reply, ended);
  const retired = granted.retire("h1", 2);
  t.deepEqual(retired.claim(createClaim("b", { host: "h2" }), 1).reply, ended);
  t.deepEqual(granted.claim(createClaim("b"), 5000).reply, ended);
  // A settlement that arrives late is still accepted.
  const late = retired.settle(createSettle("a")).claims;
  t.is(late.claim(createClaim("b"), 6000).reply.type, "answered");
});

test("settling a claim as not run releases its key, once", (t) => {
  const granted = claims.Claims.create().claim(createClaim("a"), 0).claims;
  const settle = createSettle("a", { outcome: "not-run", answer: undefined });
  const freed = granted.settle(settle).claims;
  const again = freed.claim(createClaim("b"), 1);
  t.is(again.reply.type, "granted");
  t.is(again.claims.settle(settle).reply.type, "lost");
  t.is(again.claims.claim(createClaim("c"), 2).reply.type, "held");
});

test("new keys are refused when the claims are full, and none expires early", (t) => {
  let full = claims.Claims.create(LIMITS);
  for (const key of ["1", "2", "3"]) {
    full = full.claim(createClaim(key, { key }), 0).claims;
  }
  const next = createClaim("4", { key: "4" });
  t.is(full.claim(next, 0).reply.type, "full");
  t.is(full.sweep(15_999).claim(next, 15_999).reply.type, "full");
  t.is(full.sweep(16_000).claim(next, 16_000).reply.type, "granted");
});

test("only the outcome is stored when an answer is too long", (t) => {
  const granted = claims.Claims.create(LIMITS).claim(createClaim("a"), 0);
  const answer = { status: 200, body: "x".repeat(61) };
  const settled = granted.claims.settle(createSettle("a", { answer })).claims;
  t.is(settled.bytes, 0);
  t.deepEqual(settled.claim(createClaim("b"), 1).reply, {
    type: "ended",
    outcome: "ran",
  });
});

const anySteps = fc.array(
  fc.record({
    type: fc.constantFrom("claim", "settle", "retire"),
    id: fc.integer({ min: 0, max: 12 }).map(String),
    key: fc.constantFrom("k1", "k2", "k3", "k4", "k5"),
    host: fc.constantFrom("h1", "h2"),
    incarnation: fc.integer({ min: 0, max: 3 }),
    outcome: fc.constantFrom("ran", "not-run", "unknown"),
    wait: fc.integer({ min: 0, max: 4000 }),
    restart: fc.boolean(),
  }),
  { maxLength: 120 },
);

type Steps = typeof anySteps extends fc.Arbitrary<infer T> ? T : never;

/** Whether no key is granted to two tokens within its retention time, unless
 * the first one was settled as not run. */
function grantsOnce(machine: table.StateMachine, steps: Steps): boolean {
  let state = machine.empty;
  const granted = new Map<string, { token: string; until: number }>();
  let at = 0;
  for (const { type, restart, wait, ...rest } of steps) {
    at += wait;
    const id = `${rest.key}-${rest.id}`;
    const command = createCommand(type, { ...rest, id, at });
    const step = machine.apply(state, command);
    state = restart
      ? machine.fromJSON(JSON.parse(JSON.stringify(machine.toJSON(step.state))))
      : step.state;
    const owner = granted.get(rest.key);
    if (step.reply.type === "granted") {
      const other = owner !== undefined && owner.token !== id;
      if (other && at < owner.until) return false;
      if (owner === undefined || other) {
        const until = at + 5000 + LIMITS.retentionMs;
        granted.set(rest.key, { token: id, until });
      }
    }
    const freed = step.reply.type === "settled" && rest.outcome === "not-run";
    if (freed && owner?.token === id && !isRecorded(state, rest.key)) {
      granted.delete(rest.key);
    }
  }
  return state.claims.size <= LIMITS.maxCount;
}

function isRecorded(state: table.State, key: string): boolean {
  return state.claims.toJSON().claims.some((claim) => claim.key === key);
}

function createCommand(
  type: string,
  step: Omit<Steps[number], "type" | "restart" | "wait"> & { at: number },
): schema.Command {
  const { id, key, host, incarnation, outcome, at } = step;
  if (type === "claim") {
    return { ...createClaim(id), key, host, incarnation, at };
  }
  if (type === "retire") {
    return { type: "retire", id, host, incarnation, at };
  }
  const end = outcome as schema.SettleCommand["outcome"];
  return { ...createSettle(id), key, outcome: end, at };
}

function createMachine(limits = LIMITS): table.StateMachine {
  return table.createStateMachine({
    operations: table.operations.LIMITS,
    claims: limits,
  });
}

test("no key is granted twice despite resends, restarts and lost hosts", (t) => {
  const machine = createMachine();
  fc.assert(fc.property(anySteps, (steps) => grantsOnce(machine, steps)), {
    seed: SEED,
    numRuns: 400,
  });
  t.pass();
});

test("the check detects claims that are dropped too early", (t) => {
  const machine = createMachine({ ...LIMITS, retentionMs: 2000 });
  const property = fc.property(anySteps, (steps) => grantsOnce(machine, steps));
  t.true(fc.check(property, { seed: SEED, numRuns: 400 }).failed);
});
