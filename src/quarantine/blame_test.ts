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
  { acquittals = 0, answers = acquittals }: {
    acquittals?: number;
    answers?: number;
  } = {},
): suspects.Suspect {
  return [...endpoints].reduce(
    (suspect, endpoint, at) => suspect.addCrash(endpoint, at),
    suspects.Suspect.of({
      fingerprint,
      crashes: [],
      acquittals,
      trials: 0,
      answers,
    }),
  );
}

function quarantined(...all: suspects.Suspect[]): string[] {
  return [...blames.Blame.of(all).quarantinedParts].sort();
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
    crashed(fingerprints.ofPart("beside"), "ad"),
    crashed(SHARED, "abcdefg", { acquittals: 1 }),
  ];
  t.deepEqual(quarantined(...all), [BAD, WORSE]);
});

test("a part that turned bad is quarantined beside others", (t) => {
  const turned = crashed(SHARED, "abcdefgh", { acquittals: 1 });
  t.deepEqual(quarantined(turned, crashed(BAD, "abcde")), [BAD, SHARED]);
});

test("a part with fewer answers is blamed before one in the same crashes", (t) => {
  const turned = crashed(BAD, "abcd", { acquittals: 1, answers: 100 });
  const shared = crashed(SHARED, "abcde", { acquittals: 1, answers: 200 });
  t.deepEqual(quarantined(shared, turned), [BAD]);
  t.deepEqual(quarantined(turned), []);
});

test("a request is not excused by a part that ran beside it", (t) => {
  const request = crashed("request", "abc");
  const blame = blames.Blame.of([request, crashed(BAD, "abcd")]);
  t.is(blame.standingOf(request), "quarantined");
});

test("a refuted crash counts against nobody", (t) => {
  const refuted = crashed(BAD, "abc").refute(({ endpoint }) =>
    endpoint === "a"
  );
  t.deepEqual(quarantined(refuted), []);
});
