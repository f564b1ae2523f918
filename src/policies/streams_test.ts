import test from "ava";
import * as policies from "./mod.ts";
import * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";

/** Milliseconds of a usual call. */
const USUAL = 200;
const LEARNT = 40;

const usage = {
  inputTokens: 10,
  outputTokens: 10,
  cachedTokens: 0,
  engineTime: USUAL,
};

function arrive(id: number, now: number, left = 20_000): request.Event {
  const stage = { name: "generate", service: "lm-pool", maxTokens: 10 };
  return {
    type: "arrive",
    request: {
      id: `r${id}`,
      account: "kivu-crew",
      kind: "plan",
      target: "plan",
      stages: [{ ...stage, kind: "engine" }],
      size: 10,
      arrived: now,
      deadline: now + left,
      idempotent: true,
      streaming: true,
      prefix: [],
    },
  };
}

/** A core that has learnt from calls of two engines. */
function create(learnt = LEARNT) {
  const random = runtime.createRandom(1);
  const policySet = policies.create({ dataCentre: "gisenyi-hall", random });
  const core = request.Dispatcher.create({ policySet });
  const endpoints = ["e1", "e2"].map((id): request.Endpoint => ({
    id,
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: 4,
    role: "both",
    state: "ready",
  }));
  core.step({ type: "endpoints", endpoints }, 0);
  let now = 0;
  for (let id = 0; id < learnt; id++) {
    const attempt = callIn(core.step(arrive(id, now), now))!;
    for (let received = 1; received <= 10; received++) {
      now += USUAL / 10;
      core.step({ type: "progress", attempt, received }, now);
    }
    core.step({ type: "answer", attempt, usage, size: 0, prefix: [] }, now);
  }
  return { core, now };
}

function callIn(
  effects: readonly request.Effect[],
): request.Attempt | undefined {
  const found = effects.find((each) => each.type === "call");
  return found?.type === "call" ? found.attempt : undefined;
}

/** Lets a stream have a token each `pause`; returns the call it moves to. */
function trickle(
  pause: number,
  tokens: number,
  { learnt, left }: { learnt?: number; left?: number } = {},
) {
  const { core, now: begun } = create(learnt);
  const attempt = callIn(core.step(arrive(LEARNT, begun, left), begun))!;
  let now = begun;
  for (let received = 1; received <= tokens; received++) {
    const due = now + pause;
    for (; now < due; now += 10) {
      const moved = callIn(core.step({ type: "wake" }, now));
      if (moved !== undefined) return { attempt, moved, took: now - begun };
    }
    core.step({ type: "progress", attempt, received }, now);
  }
  return { attempt, moved: undefined, took: now - begun };
}

test("a stream that trickles goes on elsewhere from its offset", (t) => {
  const { attempt, moved, took } = trickle(100, 50);
  t.not(moved?.endpoint, attempt.endpoint);
  t.is(moved?.attempt, 2);
  t.true(moved!.offset >= 3);
  t.true(took < 2000, `${took}`);
});

test("a stream of usual pace stays where it is", (t) => {
  t.is(trickle(USUAL / 10, 12).moved, undefined);
});

test("little learnt, a stream that trickles is moved in time", (t) => {
  const { moved, took } = trickle(100, 50, { learnt: 5, left: 4000 });
  t.is(moved?.attempt, 2);
  t.true(took < 4000 - 2 * USUAL, `${took}`);
});
