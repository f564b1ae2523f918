import test from "ava";
import type * as request from "../request/mod.ts";
import * as dispatcher from "../request/dispatcher.ts";
import * as runtime from "../runtime/mod.ts";
import * as policies from "./mod.ts";

/** More than half of the slots of three endpoints. */
const BUSY = 8;

function create(endpoints: number): dispatcher.Dispatcher {
  const policySet = policies.create({
    random: runtime.createRandom(1),
    dataCentre: "here",
  });
  const made = dispatcher.Dispatcher.create({ policySet });
  const list = Array.from({ length: endpoints }, (_, pos) => endpoint(pos));
  made.step({ type: "endpoints", endpoints: list }, 0);
  return made;
}

function endpoint(pos: number): request.Endpoint {
  return {
    id: `e${pos}`,
    service: "lm",
    kind: "engine",
    dataCentre: "here",
    slots: 4,
    role: "both",
    state: "ready",
  };
}

function arrive(id: string, now: number): request.Event {
  const stage = { name: "generate", service: "lm", kind: "engine" as const };
  return {
    type: "arrive",
    request: {
      id,
      account: "crews",
      kind: "plan",
      target: "plans",
      stages: [{ ...stage, maxTokens: 10 }],
      size: 100,
      arrived: now,
      deadline: now + 5000,
      idempotent: true,
      streaming: false,
      prefix: ["p0", "p1"],
    },
  };
}

function attemptOf(effects: readonly request.Effect[]): request.Attempt {
  const call = effects.find((one) => one.type === "call");
  if (call === undefined) throw new Error("There is no call");
  return call.attempt;
}

function answer(attempt: request.Attempt): request.Event {
  const tokens = { inputTokens: 1, outputTokens: 1, cachedTokens: 0 };
  const usage = { ...tokens, engineTime: 1 };
  return { type: "answer", attempt, usage, size: 1, prefix: [] };
}

/** Takes so many slots that a retry has to be paid from the budget. */
function occupy(made: dispatcher.Dispatcher): void {
  for (let pos = 0; pos < BUSY; pos++) made.step(arrive(`busy${pos}`, 0), 0);
}

test("retries a failed call elsewhere, until the budget is spent", (t) => {
  const made = create(3);
  occupy(made);
  const first = attemptOf(made.step(arrive("r", 0), 0));
  const failure = {
    reason: "connection" as const,
    outcome: "unknown" as const,
    received: 0,
  };
  made.step({ type: "fail", attempt: first, failure }, 10);
  const second = attemptOf(made.step({ type: "wake" }, 30));
  t.not(second.endpoint, first.endpoint);
  const ended = made.step({ type: "fail", attempt: second, failure }, 40);
  t.true(ended.some((one) => one.type === "refuse"));
});

test("hedges a straggler on another endpoint and cancels the loser", (t) => {
  const made = create(3);
  const policies = new Map([["account/crews", { spend: 0.2 }]]);
  made.step({ type: "policies", policies }, 0);
  for (let count = 0; count < 40; count++) {
    const now = count * 100;
    const attempt = attemptOf(made.step(arrive(`r${count}`, now), now));
    made.step(answer(attempt), now + 50);
  }
  const slow = attemptOf(made.step(arrive("slow", 4000), 4000));
  const hedged = attemptOf(made.step({ type: "wake" }, 4100));
  t.true(hedged.hedge);
  t.not(hedged.endpoint, slow.endpoint);
  const effects = made.step(answer(hedged), 4150);
  t.true(effects.some((one) => one.type === "complete"));
  t.true(
    effects.some((one) =>
      one.type === "cancel" && one.attempt.endpoint === slow.endpoint
    ),
  );
});
