import test from "ava";
import * as fc from "fast-check";
import * as entries from "./entries.ts";

/** Reference model: the terms as a plain array. */
interface Naive {
  base: number;
  terms: number[];
}

type Change = (log: entries.Entries, naive: Naive) => entries.Entries;

const append = fc.tuple(fc.nat(100), fc.integer({ min: 1, max: 9 })).map(
  ([count, term]): Change => (log, naive) => {
    const first = log.last.index + 1;
    const added = Array.from(
      { length: count },
      (_, pos) => ({ index: first + pos, term }),
    );
    naive.terms.push(...added.map((entry) => entry.term));
    return log.append(added);
  },
);

const truncate = fc.double({ min: 0, max: 1, noNaN: true }).map(
  (share): Change => (log, naive) => {
    const kept = Math.floor(naive.terms.length * share);
    naive.terms.length = kept;
    return log.truncate(naive.base + kept + 1);
  },
);

const compact = fc.double({ min: 0, max: 1, noNaN: true }).map(
  (share): Change => (log, naive) => {
    const dropped = Math.floor(naive.terms.length * share);
    naive.terms.splice(0, dropped);
    naive.base += dropped;
    return log.compact(naive.base);
  },
);

test("holds the same entries as a plain array under random changes", (t) => {
  const changes = fc.array(fc.oneof(append, append, truncate, compact));
  const property = fc.property(changes, fc.nat(200), (list, base) => {
    const naive: Naive = { base, terms: [] };
    let log = entries.Entries.create({ index: base, term: 1 });
    for (const change of list) {
      const before = log;
      const terms = before.slice(0, Infinity).map(({ term }) => term);
      log = change(log, naive);
      const held = log.slice(0, Infinity);
      t.deepEqual(held.map(({ term }) => term), naive.terms);
      t.deepEqual(
        held.map(({ index }) => index),
        naive.terms.map((_, pos) => naive.base + 1 + pos),
      );
      t.is(log.base.index, naive.base);
      t.is(log.last.index, naive.base + naive.terms.length);
      const after = before.slice(0, Infinity).map(({ term }) => term);
      t.deepEqual(after, terms);
    }
  });
  fc.assert(property, { seed: 5, numRuns: 300 });
});
