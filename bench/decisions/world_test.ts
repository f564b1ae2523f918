/** @module */

import test from "ava";
import * as runtime from "../../src/runtime/mod.ts";
import * as accounts from "./account.ts";
import * as deployments from "./deployment.ts";
import * as worlds from "./world.ts";

/** Milliseconds of a short play. */
const LENGTH = 12_000;

test("a play depends on its seed alone", async (t) => {
  const play = { deployment: deployments.party(), seed: 3, length: 5000 };
  t.deepEqual(await worlds.play(play), await worlds.play(play));
});

test("a calm load is served, nearly all of it in time", async (t) => {
  const deployment = deployments.party();
  const account = await worlds.play({ deployment, seed: 1, length: LENGTH });
  t.true(account.ended.length > 100);
  t.true(accounts.share(account.ended) > 0.85);
});

// Guards against accounts that hide which kind of request is dearest: where all
// accounts have one priority, it must be served as it is without accounts.
test("accounts of one priority don't change how kinds are served", async (t) => {
  const play = {
    deployment: deployments.party(),
    seed: 1,
    length: LENGTH,
    bursts: [{ at: 2000, length: 6000, factor: 2.5, kind: "letter" }],
  };
  const accounts = ["crews", "clubs"].map((name) => ({
    name,
    keys: [name],
    priority: 1,
  }));
  const deployment = { ...play.deployment, accounts };
  const { ended } = await worlds.play({ ...play, deployment });
  t.deepEqual(ended, (await worlds.play(play)).ended);
});

test("each request ends once, whatever fails", async (t) => {
  const { ended } = await worlds.play({
    deployment: deployments.party(),
    seed: 2,
    length: LENGTH,
    bursts: [{ at: 2000, length: 4000, factor: 2 }],
    troubles: [
      { type: "slow", at: 1000, length: 3000, factor: 4 },
      { type: "crash", at: 4000, length: 2000, count: 2 },
      { type: "kill", at: 8000, length: 1000 },
    ],
  });
  const ids = new Set(ended.map(({ request }) => request.id));
  t.is(ids.size, ended.length);
  t.true(ended.some(({ ending }) => ending === "in-time"));
});

test("deployments are drawn with engines and endpoints of other figures", (t) => {
  const drawn = [1, 2, 3, 4, 5, 6].map((seed) =>
    deployments.drawn(runtime.createRandom(seed))
  );
  const rates = drawn.map(({ engines }) => engines.readRate);
  const calls = drawn.map(({ makers }) => makers.roster.traits.callTime);
  t.true(Math.min(...rates) >= 10 && Math.max(...rates) <= 100);
  t.true(Math.max(...rates) > 2 * Math.min(...rates));
  t.true(Math.max(...calls) > 2 * Math.min(...calls));
});

test("in a burst of the dear kind who comes back is not refused again", async (t) => {
  const { ended } = await worlds.play({
    deployment: deployments.party(),
    seed: 1,
    length: LENGTH,
    bursts: [{ at: 2000, length: 6000, factor: 2.5, kind: "script" }],
  });
  const back = ended.filter(({ isBack }) => isBack);
  const again = back.filter(({ ending }) => ending === "refused");
  t.true(back.length > 20);
  t.true(again.length < back.length / 3, `${again.length} of ${back.length}`);
});

test("large results are given up before they keep others from being made", async (t) => {
  const { ended } = await worlds.play({
    deployment: deployments.party(),
    seed: 3,
    length: LENGTH,
    bursts: [{ at: 2000, length: 6000, factor: 3, kind: "script" }],
  });
  const scripts = ended.filter(({ request: { kind } }) =>
    kind.name === "script"
  );
  t.true(accounts.share(scripts) > 0.7, `${accounts.share(scripts)}`);
});

test("engines that fetch their inputs late are given them all the same", async (t) => {
  const party = deployments.party();
  const engines = { ...party.engines, fetchTime: 200 };
  const deployment = { ...party, engines };
  const { ended } = await worlds.play({ deployment, seed: 1, length: LENGTH });
  t.true(accounts.share(ended) > 0.7, `${accounts.share(ended)}`);
});

// What was seen: batchers that start, or take over, believe room empty that
// results of before still hold, and send full calls of which nothing is made.
// Without what they learn from the first rejections, 426 pieces find no room.
test("after a kill of all hosts room that is taken is not filled", async (t) => {
  let rejected = 0;
  for (const seed of [1, 2, 3]) {
    const account = await worlds.play({
      deployment: deployments.party(),
      seed,
      length: LENGTH,
      bursts: [{ at: 2000, length: 6000, factor: 2.2, kind: "script" }],
      troubles: [{ type: "kill", at: 5000, length: 300 }],
    });
    rejected += account.rejected;
  }
  t.true(rejected < 250, `${rejected}`);
});

// What was seen: where a middle stage is asked for a little more than it can
// make, for some seconds, half of those that are let in are late: each is let
// in where it is just in time, and what is misjudged makes all behind it late.
test("of an overload at a middle stage most that are let in are in time", async (t) => {
  const ended: accounts.Ended[] = [];
  for (const seed of [1, 2]) {
    const account = await worlds.play({
      deployment: deployments.party(),
      seed,
      length: 20_000,
      bursts: [{ at: 4000, length: 8000, factor: 3.5, kind: "letter" }],
      troubles: [{ type: "slow", at: 3000, length: 6000, factor: 4 }],
    });
    ended.push(...account.ended);
  }
  const count = (ending: accounts.Ending) =>
    ended.filter(({ request: { at, kind }, ending: each }) =>
      kind.name === "letter" && at > 4000 && at < 14_000 && each === ending
    ).length;
  const part = count("in-time") / (count("in-time") + count("late"));
  t.true(part > 0.7, `${part}`);
});

// Guards against an overload that feeds itself: those that were refused and come
// back too late stand before all that come after them, which are refused in turn.
test("in a long overload fresh requests aren't refused for what is late anyway", async (t) => {
  const { ended } = await worlds.play({
    deployment: deployments.party(),
    seed: 1,
    length: 24_000,
    bursts: [{ at: 4000, length: 16_000, factor: 5, kind: "letter" }],
  });
  const letters = ended.filter(({ request: { at, kind } }) =>
    kind.name === "letter" && at > 4000 && at < 20_000
  );
  const count = (ending: accounts.Ending) =>
    letters.filter((each) => each.ending === ending).length;
  const part = count("in-time") / (count("in-time") + count("late"));
  t.true(part > 0.7, `${part}`);
});

// The pattern: at 190 hosts before 55 engines each host sees a two-hundredth of
// an engine's load; choosing by that alone, .90 of a burst of the dearest kind
// was served with seed 1. And nine endpoints stand in five data centres: each
// pair by itself, .91 was served with seed 2. The bound is the target's, 95 of
// 100 in time.
for (const seed of [1, 2]) {
  test(`a large fleet serves a burst of its dearest kind, load ${seed}`, async (t) => {
    const { ended } = await worlds.play({
      deployment: deployments.large(),
      seed,
      length: LENGTH,
      bursts: [{ at: 3000, length: 5000, factor: 2.4, kind: "plan" }],
    });
    t.true(accounts.share(ended) > 0.95, `${accounts.share(ended)}`);
  });
}

// The pattern: engines that have crashed look idle until their heartbeats are
// missed. Where who places prompts did not hear of failed calls, .92 was served;
// the bound is the target's, 95 of 100 in time.
test("a large fleet leaves engines that crash before they are known to be gone", async (t) => {
  const { ended } = await worlds.play({
    deployment: deployments.large(),
    seed: 1,
    length: LENGTH,
    bursts: [{ at: 3000, length: 5000, factor: 2, kind: "summary" }],
    troubles: [
      { type: "crash", at: 5000, length: 4000, count: 12, unknownFor: 4000 },
    ],
  });
  t.true(accounts.share(ended) > 0.95, `${accounts.share(ended)}`);
});

for (const seed of [1, 2, 3, 4]) {
  test(`drawn deployment ${seed} is served through a burst`, async (t) => {
    const { ended } = await worlds.play({
      deployment: deployments.drawn(runtime.createRandom(seed)),
      seed,
      length: LENGTH,
      bursts: [{ at: 3000, length: 5000, factor: 2 }],
    });
    t.true(accounts.share(ended) > 0.7, `${accounts.share(ended)}`);
  });
}
