import test from "ava";
import type * as request from "../request/mod.ts";
import * as dispatchers from "../request/dispatcher.ts";
import * as runtime from "../runtime/mod.ts";
import * as policies from "./mod.ts";

/** Requests that take up more than half of the slots of three endpoints. */
const BUSY = 8;

function create(endpoints: number): dispatchers.Dispatcher {
  const policySet = policies.create({
    random: runtime.createRandom(1),
    dataCentre: "here",
  });
  const dispatcher = dispatchers.Dispatcher.create({ policySet });
  const list = Array.from({ length: endpoints }, (_, pos) => endpoint(pos));
  dispatcher.step({ type: "endpoints", endpoints: list }, 0);
  return dispatcher;
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

/** Occupies so many slots that retries need budget. */
function occupy(dispatcher: dispatchers.Dispatcher): void {
  for (let pos = 0; pos < BUSY; pos++) {
    dispatcher.step(arrive(`busy${pos}`, 0), 0);
  }
}

test("a failed call is retried at another endpoint until the budget is spent", (t) => {
  const dispatcher = create(3);
  occupy(dispatcher);
  const first = attemptOf(dispatcher.step(arrive("r", 0), 0));
  const failure = {
    reason: "connection" as const,
    outcome: "unknown" as const,
    received: 0,
  };
  dispatcher.step({ type: "fail", attempt: first, failure }, 10);
  const second = attemptOf(dispatcher.step({ type: "wake" }, 30));
  t.not(second.endpoint, first.endpoint);
  const ended = dispatcher.step({ type: "fail", attempt: second, failure }, 40);
  t.true(ended.some((one) => one.type === "refuse"));
});

test("a straggler is hedged at another endpoint, and the slower call is cancelled", (t) => {
  const dispatcher = create(3);
  const policies = new Map([["account/crews", { spend: 0.2 }]]);
  dispatcher.step({ type: "policies", policies }, 0);
  for (let count = 0; count < 40; count++) {
    const now = count * 100;
    const attempt = attemptOf(dispatcher.step(arrive(`r${count}`, now), now));
    dispatcher.step(answer(attempt), now + 50);
  }
  const slow = attemptOf(dispatcher.step(arrive("slow", 4000), 4000));
  const hedged = attemptOf(dispatcher.step({ type: "wake" }, 4100));
  t.true(hedged.hedge);
  t.not(hedged.endpoint, slow.endpoint);
  const effects = dispatcher.step(answer(hedged), 4150);
  t.true(effects.some((one) => one.type === "complete"));
  t.true(
    effects.some((one) =>
      one.type === "cancel" && one.attempt.endpoint === slow.endpoint
    ),
  );
});
