/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import type * as endpoints from "../endpoints/mod.ts";
import * as gateway from "./mod.ts";

const PARTS = [{ id: "shared", tokens: 6000 }, { id: "own", tokens: 100 }];
const PROMPT = {
  model: "m",
  inputTokens: 6100,
  outputTokens: 10,
  parts: PARTS,
};

function entryOf(change: Partial<endpoints.RosterEntry>) {
  return fixture.entry({ service: "models", ...change });
}

/** A pool that follows what is told of one engine. */
function poolOf(change: Partial<endpoints.RosterEntry>) {
  const pool = gateway.Pool.create();
  const engine = { slots: 4, tokens: 100_000 };
  const service = () => ({ name: "models", connections: 10, engine });
  const follow = (next: Partial<endpoints.RosterEntry>) =>
    pool.update([entryOf(next)], service);
  follow(change);
  return { pool, follow, engine: () => pool.of("models")[0] };
}

test("nothing that is believed of an engine outlives it", (t) => {
  const { follow, engine } = poolOf({ born: 100 });
  const former = engine();
  former.memory!.read(PROMPT);
  for (let count = 0; count < 3; count++) former.judge("bad", 10);
  former.report({ running: 9, waiting: 9, slots: 4 }, 10);
  former.elsewhere.note("host", useOf(former.identity.id), 10);
  former.coldUntil = 500;
  t.true(former.isResting(20) && former.memory!.known(PROMPT) > 0);

  const [ended] = follow({ born: 200 });
  const next = engine();
  t.like(ended, { identity: former.identity, isReborn: true });
  t.false(former.isReady);
  t.is(next.memory!.known(PROMPT), 0);
  t.false(next.isResting(20));
  t.is(next.health, 1);
  t.is(next.load(20), 0);
  t.is(next.elsewhere.sum(20).tokens, 0);
  t.is(next.coldUntil, 0);
});

test("what another host says of a former incarnation is not taken for the next", (t) => {
  const { pool, follow, engine } = poolOf({ born: 100 });
  const former = engine().identity.id;
  follow({ born: 200 });
  pool.noteUse("host", [useOf(former)], 10);
  t.is(engine().elsewhere.sum(10).tokens, 0);
  t.is(engine().memory!.known(PROMPT), 0);
});

test("an engine that starts again keeps the name that calls are meant for", (t) => {
  const { follow, engine } = poolOf({ born: 100 });
  const { id, name } = engine().identity;
  follow({ born: 200 });
  t.is(engine().identity.name, name);
  t.not(engine().identity.id, id);
});

test("an engine that has left is not one that started again", (t) => {
  const { follow } = poolOf({ born: 100 });
  const [ended] = follow({ state: "gone", born: 100 });
  t.false(ended.isReborn);
});

function useOf(engine: string) {
  return { engine, tokens: 5000, streams: 3, read: [PARTS] };
}
