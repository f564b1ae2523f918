/** @module */

import test from "ava";
import * as blames from "./blame.ts";
import * as fingerprints from "./fingerprint.ts";
import * as suspects from "./suspect.ts";

const SHARED = fingerprints.ofPart("shared");
const BAD = fingerprints.ofPart("bad");
const WORSE = fingerprints.ofPart("worse");

/** The record of a request or part that was in the crashes of `endpoints`, after
 * so many successes. */
function crashed(
  fingerprint: string,
  endpoints: string,
  { acquittals = 0 } = {},
): suspects.Suspect {
  return [...endpoints].reduce(
    (suspect, endpoint, at) => suspect.addCrash(endpoint, at),
    suspects.Suspect.of({ fingerprint, crashes: [], acquittals, trials: 0 }),
  );
}

function quarantined(...all: suspects.Suspect[]): string[] {
  return [...blames.Blame.of(all).quarantined].sort();
}

test("a part without a success is quarantined after three crashes", (t) => {
  t.deepEqual(quarantined(crashed(BAD, "ab")), []);
  t.deepEqual(quarantined(crashed(BAD, "abc")), [BAD]);
});

test("a part that has succeeded before is quarantined after five crashes", (t) => {
  t.deepEqual(quarantined(crashed(SHARED, "abcd", { acquittals: 1 })), []);
  const five = crashed(SHARED, "abcde", { acquittals: 1 });
  t.deepEqual(quarantined(five), [SHARED]);
});

test("a part that all requests share is not blamed for crashes with a poison part", (t) => {
  const shared = crashed(SHARED, "abcdefgh", { acquittals: 3 });
  t.deepEqual(quarantined(shared, crashed(BAD, "abcdefg")), [BAD]);
});

test("two poison parts are both quarantined, what ran beside them is not", (t) => {
  const all = [
    crashed(BAD, "abcd"),
    crashed(WORSE, "defg"),
    crashed("beside", "ad"),
    crashed(SHARED, "abcdefg", { acquittals: 1 }),
  ];
  t.deepEqual(quarantined(...all), [BAD, WORSE]);
  t.is(blames.Blame.of(all).standingOf(all[2]), "free");
});

test("a request whose crashes a poison part explains is free", (t) => {
  const beside = crashed("beside", "abc");
  t.deepEqual(quarantined(beside, crashed(BAD, "abcd")), [BAD]);
  const blame = blames.Blame.of([beside, crashed(BAD, "abcd")]);
  t.is(blame.standingOf(beside), "free");
});

test("a request that crashes endpoints alone is blamed before its parts", (t) => {
  const request = crashed("request", "abc");
  t.deepEqual(quarantined(request, crashed(BAD, "abc")), ["request"]);
});

test("a part is blamed before the requests that have it, once there are several", (t) => {
  const all = [
    crashed("one", "abc"),
    crashed("two", "def"),
    crashed(BAD, "abcdef"),
  ];
  t.deepEqual(quarantined(...all), [BAD]);
});

test("a refuted crash counts against nobody", (t) => {
  const refuted = crashed(BAD, "abc").refute(({ endpoint }) =>
    endpoint === "a"
  );
  t.deepEqual(quarantined(refuted), []);
});
