import test from "ava";
import type * as verify from "../../standins/experiment/verify.ts";
import * as audit from "./audit.ts";

const HOST = "http://127.0.0.1:1";
const MARKER = { id: "0123456789ab", length: 3 };
const ONE_RUN = { "dive-desk": { runs: 1, most: 1, engineTime: 1 } };
const TWO_RUNS = { "dive-desk": { runs: 2, most: 2, engineTime: 2 } };
const BROKEN: verify.Reply = { type: "broken", detail: "reset" };
const NOT_RUN: verify.Reply = {
  type: "problem",
  status: 503,
  name: "overloaded",
  outcome: "not-run",
};

function booked(run = 1): verify.Reply {
  const { id: owner } = MARKER;
  return { type: "plain", body: JSON.stringify({ owner, run, end: owner }) };
}

function attempt(
  reply: verify.Reply,
  changes: Partial<audit.Attempt> = {},
): audit.Attempt {
  return { host: HOST, sent: 0, ended: 10, reply, runs: 0, ...changes };
}

function check(
  attempts: audit.Attempt[],
  evidence: Partial<audit.Evidence> = {},
): audit.Breach[] {
  const expected = { marker: MARKER, idempotent: false };
  return audit.check({ expected, attempts }, { disturbances: [], ...evidence });
}

test("a whole answer of one run is no breach", (t) => {
  t.deepEqual(check([attempt(booked())], { shares: ONE_RUN }), []);
});

test("a doubled run is a breach", (t) => {
  const found = check([attempt(booked())], { shares: TWO_RUNS });
  t.deepEqual(found, ["run-twice"]);
});

test("an answer of another request is a breach", (t) => {
  const reply: verify.Reply = {
    type: "plain",
    body: JSON.stringify({ owner: "other", end: "other" }),
  };
  const found = check([attempt(reply)], { shares: ONE_RUN });
  t.deepEqual(found, ["crossed"]);
});

test("an answer without a run is a breach", (t) => {
  t.deepEqual(check([attempt(booked())]), ["answered-without-run"]);
});

test("two answers under one key must be equal", (t) => {
  const found = check([
    attempt(booked(1)),
    attempt(booked(2), { sent: 20, ended: 30 }),
  ], { shares: ONE_RUN });
  t.deepEqual(found, ["changed-answer"]);
});

test("a refusal as not run is a breach when the request runs later", (t) => {
  const found = check([attempt(NOT_RUN)], { shares: ONE_RUN });
  t.deepEqual(found, ["ran-though-refused"]);
});

test("a resend refused as not run is a breach when an earlier try ran", (t) => {
  const found = check([
    attempt(BROKEN, { runs: 1 }),
    attempt(NOT_RUN, { sent: 20, ended: 30, runs: 1 }),
    attempt(booked(), { sent: 40, ended: 50, runs: 1 }),
  ], {
    shares: ONE_RUN,
    disturbances: [{ host: HOST, from: 0, to: 15 }],
  });
  t.deepEqual(found, ["ran-though-refused"]);
});

test("a request may run when it is sent again after a refusal", (t) => {
  const found = check([
    attempt(NOT_RUN),
    attempt(booked(), { sent: 20, ended: 30, runs: 1 }),
  ], { shares: ONE_RUN });
  t.deepEqual(found, []);
});

test("a refusal says nothing of a try under way at the same time", (t) => {
  const found = check([
    attempt(NOT_RUN, { runs: 1 }),
    attempt(booked(), { sent: 5, ended: 30, runs: 1 }),
  ], { shares: ONE_RUN });
  t.deepEqual(found, []);
});

test("a broken connection is a breach unless its host was disturbed", (t) => {
  t.deepEqual(check([attempt(BROKEN)]), ["cut-off"]);
  const disturbance = { host: HOST, from: 8, to: 20 };
  t.deepEqual(check([attempt(BROKEN)], { disturbances: [disturbance] }), []);
  const other = { ...disturbance, host: "http://127.0.0.1:2" };
  t.deepEqual(check([attempt(BROKEN)], { disturbances: [other] }), [
    "cut-off",
  ]);
  const after = { ...disturbance, from: 11 };
  t.deepEqual(check([attempt(BROKEN)], { disturbances: [after] }), [
    "cut-off",
  ]);
});

test("silence is a breach unless its host was disturbed", (t) => {
  const silence: verify.Reply = { type: "silence" };
  t.deepEqual(check([attempt(silence)]), ["no-final-answer"]);
  const disturbances = [{ host: HOST, from: 8, to: 20 }];
  t.deepEqual(check([attempt(silence)], { disturbances }), []);
});
