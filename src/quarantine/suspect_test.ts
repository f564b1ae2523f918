/** @module */

import test from "ava";
import * as fc from "fast-check";
import * as suspects from "./suspect.ts";

const { Suspect } = suspects;

function crashed(...endpoints: string[]): suspects.Suspect {
  return endpoints.reduce(
    (suspect, endpoint, pos) => suspect.addCrash(endpoint, pos),
    Suspect.create("f"),
  );
}

test("a request is suspected after two crashes and quarantined after three", (t) => {
  t.is(crashed("a").standing, "free");
  t.is(crashed("a", "b").standing, "suspected");
  t.is(crashed("a", "b", "c").standing, "quarantined");
});

test("several broken calls at one endpoint count as one crash", (t) => {
  t.is(crashed("a", "a", "a").activeCrashes.length, 1);
});

test("a refuted crash does not count, also after a merge", (t) => {
  const suspect = crashed("a", "b", "c");
  const refuted = suspect.refute(({ endpoint }) => endpoint === "b");
  t.is(refuted.standing, "suspected");
  t.is(refuted.merge(suspect).standing, "suspected");
});

test("an acquittal removes the crashes before it, also in a merge", (t) => {
  const suspect = crashed("a", "b", "c");
  const acquitted = suspect.acquit();
  t.is(acquitted.standing, "free");
  t.is(suspect.merge(acquitted).standing, "free");
  t.is(acquitted.addCrash("d", 9).activeCrashes.length, 1);
});

test("an acquittal leaves the crashes after the run began", (t) => {
  const suspect = crashed("a", "b", "c").addTrial();
  const acquitted = suspect.acquit(2);
  t.deepEqual(acquitted.activeCrashes.map(({ endpoint }) => endpoint), ["c"]);
  t.like(acquitted, { acquittals: 1, trials: 0 });
  t.is(suspect.acquit(0), suspect);
});

const crash = fc.record({
  endpoint: fc.constantFrom("a", "b", "c", "d"),
  at: fc.nat(9),
  isRefuted: fc.boolean(),
});
const suspect = fc.record({
  fingerprint: fc.constant("f"),
  crashes: fc.uniqueArray(crash, { selector: ({ endpoint }) => endpoint })
    .map((list) =>
      list.sort((one, other) => one.endpoint < other.endpoint ? -1 : 1)
    ),
  acquittals: fc.nat(2),
  trials: fc.nat(2),
  answers: fc.nat(2),
}).map((fields) => Suspect.of(fields));

test("merging records is commutative, associative and idempotent", (t) => {
  fc.assert(fc.property(suspect, suspect, suspect, (a, b, c) => {
    t.deepEqual(a.merge(b), b.merge(a));
    t.deepEqual(a.merge(b).merge(c), a.merge(b.merge(c)));
    t.deepEqual(a.merge(a), a);
    t.deepEqual(a.merge(b).merge(b), a.merge(b));
  }));
});
