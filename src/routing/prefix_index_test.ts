import test from "ava";
import * as fc from "fast-check";
import * as prefix from "./prefix_index.ts";

function blocks(length: number, name = "b"): string[] {
  return Array.from({ length }, (_, pos) => `${name}${pos}`);
}

function event(sequence: number, stored: string[], removed: string[] = []) {
  return { sequence, stored, removed };
}

test("finds the engines with the most blocks of a prompt", (t) => {
  const one = prefix.PrefixIndex.create();
  one.recordPrompt("a", blocks(100), 0);
  one.recordPrompt("b", blocks(4), 0);
  t.deepEqual(one.holders(blocks(10), 1)[0], { endpoint: "a", blocks: 10 });
  t.deepEqual(one.holders(blocks(300), 1)[0], { endpoint: "a", blocks: 96 });
  t.true(one.holders(blocks(10), 1).some((found) => found.endpoint === "b"));
  t.deepEqual(one.holders(blocks(3, "other"), 1), []);
});

test("discards what it believed of an engine after a gap", (t) => {
  const one = prefix.PrefixIndex.create();
  one.applyEvent("a", event(1, ["x"]), 0);
  one.applyEvent("b", event(1, ["x"]), 0);
  t.true(one.applyEvent("a", event(3, ["y"]), 0));
  t.false(one.holds("a", "x", 0));
  t.true(one.holds("a", "y", 0));
  t.true(one.holds("b", "x", 0));
});

test("ignores events that were overtaken, not those of a restart", (t) => {
  const one = prefix.PrefixIndex.create();
  one.applyEvent("a", event(7, ["x"]), 0);
  t.false(one.applyEvent("a", event(6, [], ["x"]), 0));
  t.true(one.holds("a", "x", 0));
  t.true(one.applyEvent("a", event(0, []), 0));
  t.false(one.holds("a", "x", 0));
});

test("remembers no more blocks than it may, the first ones longest", (t) => {
  const one = prefix.PrefixIndex.create(10);
  one.recordPrompt("a", blocks(16), 0);
  t.is(one.size, 10);
  t.true(one.holds("a", "b0", 0));
  t.false(one.holds("a", "b15", 0));
});

test("believes what a record without bounds would", (t) => {
  const block = fc.constantFrom(...blocks(6));
  const step = fc.record({
    engine: fc.constantFrom("a", "b", "c"),
    skip: fc.boolean(),
    stored: fc.array(block, { maxLength: 3 }),
    removed: fc.array(block, { maxLength: 2 }),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const one = prefix.PrefixIndex.create();
    const record = new Map<string, Set<string>>();
    const sequences = new Map<string, number>();
    for (const { engine, skip, stored, removed } of steps) {
      const known = sequences.get(engine);
      const sequence = (known ?? 0) + (skip ? 2 : 1);
      sequences.set(engine, sequence);
      one.applyEvent(engine, event(sequence, stored, removed), 0);
      const kept = record.get(engine) ?? new Set();
      if (skip && known !== undefined) kept.clear();
      for (const name of stored) kept.add(name);
      for (const name of removed) kept.delete(name);
      record.set(engine, kept);
      for (const [id, held] of record) {
        for (const name of blocks(6)) {
          t.is(one.holds(id, name, 0), held.has(name));
        }
      }
    }
  }));
});
