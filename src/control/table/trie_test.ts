import test from "ava";
import * as fc from "fast-check";
import * as table from "./mod.ts";

const SEED = 5;
// The first two have the same FNV-1a hash.
const keys = [
  "costarring",
  "liquid",
  ...Array.from({ length: 80 }, (_, n) => `k${n}`),
];

test("a trie behaves as a map, and changes leave earlier copies intact", (t) => {
  const anySteps = fc.array(
    fc.tuple(fc.constantFrom(...keys), fc.option(fc.integer())),
    { maxLength: 200 },
  );
  fc.assert(
    fc.property(anySteps, (steps) => {
      let trie = table.Trie.create<number>();
      const map = new Map<string, number>();
      for (const [key, value] of steps) {
        const before = [...trie.entries()].length;
        const next = value === null ? trie.delete(key) : trie.set(key, value);
        if ([...trie.entries()].length !== before) return false;
        trie = next;
        if (value === null) map.delete(key);
        else map.set(key, value);
      }
      const rebuilt = table.Trie.create(map);
      return trie.size === map.size &&
        keys.every((key) => trie.get(key) === map.get(key)) &&
        same([...trie.entries()], [...rebuilt.entries()]);
    }),
    { seed: SEED, numRuns: 200 },
  );
  t.is(table.hashOf(keys[0]), table.hashOf(keys[1]));
});

test("a sweep returns the keys that are due, also after a long gap", (t) => {
  const many = Array.from({ length: 50 }, (_, n) => `k${n}`);
  let expiry = table.ExpiryIndex.create(0);
  many.forEach((key, pos) => expiry = expiry.add(key, pos * 1000 + 500));
  t.deepEqual(expiry.sweep(999).keys, []);
  t.deepEqual(expiry.sweep(2000).keys, ["k0", "k1"]);
  t.is(expiry.sweep(1e9).keys.length, many.length);
});

function same(a: unknown, b: unknown): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
