/** @module */

import test from "ava";
import * as suspects from "./suspect.ts";
import * as suspectTables from "./suspect_table.ts";

/** The record of a request that has crashed `endpoints` at `at`. */
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

test("a table has no suspects while no request has active crashes", (t) => {
  const table = tableOf();
  t.true(table.hasNoSuspects);
  table.put(crashed("f", ["a"]), 0);
  t.false(table.hasNoSuspects);
  table.put(table.get("f").acquit(), 0);
  t.true(table.hasNoSuspects);
});

test("only a change of a record has a new revision", (t) => {
  const table = tableOf(crashed("f", ["a"]));
  const { revision } = table;
  t.is(table.merge(crashed("f", ["a"], 7), 7), undefined);
  t.deepEqual(table.changedSince(revision), []);
  t.truthy(table.merge(crashed("f", ["b"]), 7));
  t.is(table.changedSince(revision).length, 1);
});

test("a request that crashed endpoints alone is tried at most twice, after minutes", (t) => {
  const suspect = crashed("f", ["a", "b", "c"]);
  const table = tableOf(suspect);
  t.is(table.nextTrialAt(suspect), 300_000);
  t.is(table.nextTrialAt(suspect.addTrial()), 600_000);
  t.is(table.nextTrialAt(suspect.addTrial().addTrial()), Infinity);
});

test("an ambiguous request is tried once after seconds", (t) => {
  const one = crashed("one", ["a", "b", "c"]);
  const table = tableOf(one, crashed("other", ["a", "b", "c", "d", "e"]));
  t.is(table.nextTrialAt(one), 5000);
  t.is(table.nextTrialAt(table.get("other")), 300_000);
  t.is(table.nextTrialAt(one.addTrial()), 600_000);
});

test("a full table evicts the records with the fewest crashes", (t) => {
  const table = tableOf(crashed("worst", ["a", "b", "c"]));
  for (let number = 0; number < 10_000; number++) {
    table.put(crashed(`f${number}`, ["a"]), number);
  }
  t.true(table.all.length <= 4096);
  t.is(table.get("worst").standing, "quarantined");
  t.is(table.get("f9999").activeCrashes.length, 1);
});

test("old records expire, those without active crashes first", (t) => {
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

test("a part is tried after seconds, then after ten minutes", (t) => {
  const part = crashed("part:f", ["a", "b", "c"]);
  const table = tableOf(part);
  t.is(table.nextTrialAt(part), 5000);
  t.is(table.nextTrialAt(part.addTrial()), 600_000);
  t.is(table.nextTrialAt(part.addTrial().addTrial()), Infinity);
});

test("evicted records are counted", (t) => {
  const table = tableOf();
  for (let number = 0; number < 4097; number++) {
    table.put(crashed(`f${number}`, ["a"]), number);
  }
  t.is(table.evictedCount, 512);
});
