import test from "ava";
import * as batch from "./batch.ts";

function speed(changes: Partial<batch.Speed> = {}): batch.Speed {
  return {
    slots: 2,
    waiting: 2,
    stepTime: 10,
    prefillTime: 0.1,
    decodeTime: 1,
    chunk: 100,
    stride: 1,
    ...changes,
  };
}

function sequence(id: string, changes: Partial<batch.Sequence> = {}) {
  return { id, priority: 0, prefill: 50, decode: 2, ...changes };
}

function types(effects: readonly batch.Effect[]): string[] {
  return effects.map(({ type, id }) => `${type} ${id}`);
}

test("prefills, then decodes one stride a step", (t) => {
  const start = batch.Batch.create(speed()).add(sequence("a")).advance(0);
  t.deepEqual(types(start.effects), ["start a"]);
  t.is(start.batch.next, 15);
  const first = start.batch.advance(15);
  t.deepEqual(first.effects, [{ type: "tokens", id: "a", count: 1 }]);
  t.is(first.batch.next, 26);
  const last = first.batch.advance(26);
  t.deepEqual(types(last.effects), ["tokens a", "finish a"]);
  t.is(last.batch.next, undefined);
});

test("gives the same effects in one leap as in many steps", (t) => {
  const full = ["a", "b", "c"].reduce(
    (state, id) => state.add(sequence(id, { prefill: 180, decode: 7 })),
    batch.Batch.create(speed()),
  );
  const leap = full.advance(0).batch.advance(1000);
  const effects: batch.Effect[] = [];
  let state = full.advance(0).batch;
  for (let now = 0; now <= 1000; now++) {
    const step = state.advance(now);
    effects.push(...step.effects);
    state = step.batch;
  }
  t.deepEqual(effects, leap.effects);
});

test("admits the larger priority first and equals by arrival", (t) => {
  const full = batch.Batch.create(speed({ slots: 1, waiting: 5 }))
    .add(sequence("a"))
    .add(sequence("urgent", { priority: 5 }))
    .add(sequence("b"));
  const start = full.advance(0);
  const rest = start.batch.advance(1000);
  const starts = [...start.effects, ...rest.effects]
    .filter(({ type }) => type === "start");
  t.deepEqual(types(starts), ["start urgent", "start a", "start b"]);
});

test("is full once slots and queue are taken", (t) => {
  let state = batch.Batch.create(speed());
  for (const id of ["a", "b", "c"]) state = state.add(sequence(id));
  t.false(state.full);
  t.true(state.add(sequence("d")).full);
  t.true(state.advance(0).batch.add(sequence("d")).full);
});

test("frees the slot of a removed sequence", (t) => {
  let state = batch.Batch.create(speed({ slots: 1 }))
    .add(sequence("a"))
    .add(sequence("b"))
    .advance(0).batch;
  state = state.remove("a");
  t.deepEqual(types(state.advance(15).effects), ["start b"]);
});

test("takes longer steps by the factor", (t) => {
  const { batch: state } = batch.Batch.create(speed())
    .add(sequence("a"))
    .advance(0, 3);
  t.is(state.next, 45);
});
