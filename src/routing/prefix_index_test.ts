import test from "ava";
import * as fc from "fast-check";
import * as prefixIndex from "./prefix_index.ts";

function blocks(length: number, name = "b"): string[] {
  return Array.from({ length }, (_, pos) => `${name}${pos}`);
}

function event(sequence: number, stored: string[], removed: string[] = []) {
  return { sequence, stored, removed };
}

test("finds the engines with the longest prefix of a prompt", (t) => {
  const index = prefixIndex.PrefixIndex.create();
  index.recordPrompt("a", blocks(100), 0);
  index.recordPrompt("b", blocks(4), 0);
  t.deepEqual(index.holders(blocks(10), 1)[0], { endpoint: "a", blocks: 10 });
  t.deepEqual(index.holders(blocks(300), 1)[0], { endpoint: "a", blocks: 96 });
  t.true(index.holders(blocks(10), 1).some((found) => found.endpoint === "b"));
  t.deepEqual(index.holders(blocks(3, "other"), 1), []);
});

test("invalidates an engine's entries after a gap in its events", (t) => {
  const index = prefixIndex.PrefixIndex.create();
  index.applyEvent("a", event(1, ["x"]), 0);
  index.applyEvent("b", event(1, ["x"]), 0);
  t.true(index.applyEvent("a", event(3, ["y"]), 0));
  t.false(index.holds("a", "x", 0));
  t.true(index.holds("a", "y", 0));
  t.true(index.holds("b", "x", 0));
});

test("ignores late events, but not those of a restarted engine", (t) => {
  const index = prefixIndex.PrefixIndex.create();
  index.applyEvent("a", event(7, ["x"]), 0);
  t.false(index.applyEvent("a", event(6, [], ["x"]), 0));
  t.true(index.holds("a", "x", 0));
  t.true(index.applyEvent("a", event(0, []), 0));
  t.false(index.holds("a", "x", 0));
});

test("stays within its capacity and evicts trailing blocks first", (t) => {
  const index = prefixIndex.PrefixIndex.create(10);
  index.recordPrompt("a", blocks(16), 0);
  t.is(index.size, 10);
  t.true(index.holds("a", "b0", 0));
  t.false(index.holds("a", "b15", 0));
});

test("matches a reference index without bounds", (t) => {
  const block = fc.constantFrom(...blocks(6));
  const step = fc.record({
    engine: fc.constantFrom("a", "b", "c"),
    skip: fc.boolean(),
    stored: fc.array(block, { maxLength: 3 }),
    removed: fc.array(block, { maxLength: 2 }),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
    const index = prefixIndex.PrefixIndex.create();
    const record = new Map<string, Set<string>>();
    const sequences = new Map<string, number>();
    for (const { engine, skip, stored, removed } of steps) {
      const known = sequences.get(engine);
      const sequence = (known ?? 0) + (skip ? 2 : 1);
      sequences.set(engine, sequence);
      index.applyEvent(engine, event(sequence, stored, removed), 0);
      const kept = record.get(engine) ?? new Set();
      if (skip && known !== undefined) kept.clear();
      for (const name of stored) kept.add(name);
      for (const name of removed) kept.delete(name);
      record.set(engine, kept);
      for (const [id, held] of record) {
        for (const name of blocks(6)) {
          t.is(index.holds(id, name, 0), held.has(name));
        }
      }
    }
  }));
});
