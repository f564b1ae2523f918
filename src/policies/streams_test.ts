import test from "ava";
import * as policies from "./mod.ts";
import * as request from "../request/mod.ts";
import * as runtime from "../runtime/mod.ts";

/** Duration of a normal call in milliseconds. */
const NORMAL_MS = 200;
const OBSERVED_COUNT = 40;

const usage = {
  inputTokens: 10,
  outputTokens: 10,
  cachedTokens: 0,
  engineTime: NORMAL_MS,
};

function arrive(id: number, now: number, remaining = 20_000): request.Event {
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
      deadline: now + remaining,
      idempotent: true,
      streaming: true,
      prefix: [],
    },
  };
}

/** A dispatcher that has completed `observed` calls at two engines. */
function create(observed = OBSERVED_COUNT) {
  const random = runtime.createRandom(1);
  const policySet = policies.create({ dataCentre: "gisenyi-hall", random });
  const dispatcher = request.Dispatcher.create({ policySet });
  const endpoints = ["e1", "e2"].map((id): request.Endpoint => ({
    id,
    service: "lm-pool",
    kind: "engine",
    dataCentre: "gisenyi-hall",
    slots: 4,
    role: "both",
    state: "ready",
  }));
  dispatcher.step({ type: "endpoints", endpoints }, 0);
  let now = 0;
  for (let id = 0; id < observed; id++) {
    const attempt = callIn(dispatcher.step(arrive(id, now), now))!;
    for (let received = 1; received <= 10; received++) {
      now += NORMAL_MS / 10;
      dispatcher.step({ type: "progress", attempt, received }, now);
    }
    dispatcher.step(
      { type: "answer", attempt, usage, size: 0, prefix: [] },
      now,
    );
  }
  return { dispatcher, now };
}

function callIn(
  effects: readonly request.Effect[],
): request.Attempt | undefined {
  const found = effects.find((each) => each.type === "call");
  return found?.type === "call" ? found.attempt : undefined;
}

/** Sends a token of a stream every `pause` milliseconds; returns the call that
 * the stream moves to, if any. */
function streamSlowly(
  pause: number,
  tokens: number,
  { observed, remaining }: { observed?: number; remaining?: number } = {},
) {
  const { dispatcher, now: start } = create(observed);
  const attempt = callIn(
    dispatcher.step(arrive(OBSERVED_COUNT, start, remaining), start),
  )!;
  let now = start;
  for (let received = 1; received <= tokens; received++) {
    const due = now + pause;
    for (; now < due; now += 10) {
      const moved = callIn(dispatcher.step({ type: "wake" }, now));
      if (moved !== undefined) return { attempt, moved, took: now - start };
    }
    dispatcher.step({ type: "progress", attempt, received }, now);
  }
  return { attempt, moved: undefined, took: now - start };
}

test("a slow stream is resumed at another endpoint from its offset", (t) => {
  const { attempt, moved, took } = streamSlowly(100, 50);
  t.not(moved?.endpoint, attempt.endpoint);
  t.is(moved?.attempt, 2);
  t.true(moved!.offset >= 3);
  t.true(took < 2000, `${took}`);
});

test("a stream of normal speed is not moved", (t) => {
  t.is(streamSlowly(NORMAL_MS / 10, 12).moved, undefined);
});

test("a slow stream is moved before its deadline after few observations", (t) => {
  const { moved, took } = streamSlowly(100, 50, {
    observed: 5,
    remaining: 4000,
  });
  t.is(moved?.attempt, 2);
  t.true(took < 4000 - 2 * NORMAL_MS, `${took}`);
});
