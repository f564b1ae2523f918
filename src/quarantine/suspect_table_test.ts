/** @module */

import test from "ava";
import * as suspects from "./suspect.ts";
import * as suspectTables from "./suspect_table.ts";

/** A record of a request under which endpoints have crashed at `at`. */
function crashed(
  fingerprint: string,
  endpoints: readonly string[],
  at = 0,
): suspects.Suspect {
  return endpoints.reduce(
    (suspect, endpoint) => suspect.addCrash(endpoint, at),
    suspects.Suspect.create(fingerprint),
  );
}

function tableOf(...all: suspects.Suspect[]) {
  const table = suspectTables.SuspectTable.create();
  all.forEach((suspect) => table.put(suspect, 0));
  return table;
}

test("a table is calm while nothing is held against any request", (t) => {
  const table = tableOf();
  t.true(table.hasNoSuspects);
  table.put(crashed("f", ["a"]), 0);
  t.false(table.hasNoSuspects);
  table.put(table.get("f").acquit(), 0);
  t.true(table.hasNoSuspects);
});

test("only what is news has a new revision", (t) => {
  const table = tableOf(crashed("f", ["a"]));
  const { revision } = table;
  t.is(table.merge(crashed("f", ["a"], 7), 7), undefined);
  t.deepEqual(table.changedSince(revision), []);
  t.truthy(table.merge(crashed("f", ["b"]), 7));
  t.is(table.changedSince(revision).length, 1);
});

test("what crashed endpoints alone is tried after minutes, twice at most", (t) => {
  const suspect = crashed("f", ["a", "b", "c"]);
  const table = tableOf(suspect);
  t.is(table.nextTrialAt(suspect), 300_000);
  t.is(table.nextTrialAt(suspect.addTrial()), 600_000);
  t.is(table.nextTrialAt(suspect.addTrial().addTrial()), Infinity);
});

test("of requests that crashed together each is tried soon, once", (t) => {
  const one = crashed("one", ["a", "b", "c"]);
  const table = tableOf(one, crashed("other", ["a", "b", "c", "d", "e"]));
  t.is(table.nextTrialAt(one), 5000);
  t.is(table.nextTrialAt(table.get("other")), 300_000);
  t.is(table.nextTrialAt(one.addTrial()), 600_000);
});

test("a table is bounded, and keeps what is suspected most", (t) => {
  const table = tableOf(crashed("worst", ["a", "b", "c"]));
  for (let number = 0; number < 10_000; number++) {
    table.put(crashed(`f${number}`, ["a"]), number);
  }
  t.true(table.all.length <= 4096);
  t.is(table.get("worst").standing, "quarantined");
  t.is(table.get("f9999").activeCrashes.length, 1);
});

test("what is long ago is forgotten", (t) => {
  const table = tableOf(
    crashed("old", ["a"]),
    crashed("free", ["a"]).acquit(),
  );
  table.expire(61_000);
  t.deepEqual(table.all.map(({ fingerprint }) => fingerprint), ["old"]);
  table.expire(3_601_000);
  t.deepEqual(table.all, []);
  t.true(table.hasNoSuspects);
});
