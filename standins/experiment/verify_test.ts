import test from "ava";
import * as text from "../text.ts";
import * as verify from "./verify.ts";

const marker: text.Marker = { id: "0123456789ab", length: 5 };
const expected: verify.Expectation = { marker, idempotent: true };
const own = text.whole({ owner: marker.id, length: 5 });
const foreign = text.whole({ owner: "ba9876543210", length: 5 });

function answer(body: string): verify.Reply {
  return { type: "answer", text: body, stages: [] };
}

function streamed(parts: verify.Part[], ends = 1): verify.Reply {
  const body = parts.map((part) => part.text).join("");
  return { type: "answer", text: body, parts, ends, stages: [] };
}

function parts(): verify.Part[] {
  const whole = { owner: marker.id, length: 5 };
  return [0, 1, 2, 3, 4].map((offset) => ({
    offset,
    text: text.token(whole, offset),
  }));
}

function share(runs: number, most = runs) {
  return { runs, most, engineTime: 0 };
}

test("accepts the whole answer of the asker", (t) => {
  t.is(verify.checkReply(expected, answer(own)), undefined);
  t.is(verify.checkReply(expected, streamed(parts())), undefined);
  const coalesced = [
    { offset: 0, text: own.slice(0, own.indexOf(" w2")) },
    { offset: 2, text: own.slice(own.indexOf(" w2")) },
  ];
  t.is(verify.checkReply(expected, streamed(coalesced)), undefined);
});

test("accepts an answer cut to the tokens that were asked for", (t) => {
  const cut = text.whole({ owner: marker.id, length: 3 });
  const asked = { ...expected, maxTokens: 3 };
  t.is(verify.checkReply(asked, answer(cut)), undefined);
  t.is(verify.checkReply(expected, answer(cut)), "truncated");
});

test("catches a crossed answer, whole or in part", (t) => {
  t.is(verify.checkReply(expected, answer(foreign)), "crossed");
  const half = own.split(" ").slice(0, 3)
    .concat(foreign.split(" ").slice(3)).join(" ");
  t.is(verify.checkReply(expected, answer(half)), "crossed");
});

test("catches a prompt that mixed two requests", (t) => {
  const other = { id: "ba9876543210", length: 5 };
  const prompt = text.write(marker) + text.write(other);
  const mixed = text.whole(text.answer(prompt, 10));
  t.is(verify.checkReply(expected, answer(mixed)), "crossed");
});

test("catches a truncated answer", (t) => {
  for (let end = 0; end < own.length; end++) {
    t.not(verify.checkReply(expected, answer(own.slice(0, end))), undefined);
  }
  t.is(verify.checkReply(expected, streamed(parts(), 0)), "truncated");
  t.is(
    verify.checkReply(expected, streamed(parts().slice(0, 4))),
    "truncated",
  );
});

test("catches a doubled answer", (t) => {
  t.is(verify.checkReply(expected, answer(`${own} ${own}`)), "doubled");
  const words = own.split(" ");
  const again = [...words.slice(0, 3), ...words.slice(2)].join(" ");
  t.is(verify.checkReply(expected, answer(again)), "doubled");
  t.is(verify.checkReply(expected, streamed(parts(), 2)), "doubled");
  const twice = parts().flatMap((part) => [part, part]);
  t.is(verify.checkReply(expected, streamed(twice)), "doubled");
});

test("catches a gap and foreign words", (t) => {
  const words = own.split(" ");
  const gap = [...words.slice(0, 2), ...words.slice(3)].join(" ");
  t.is(verify.checkReply(expected, answer(gap)), "gap");
  const holed = parts().filter(({ offset }) => offset !== 2);
  t.is(verify.checkReply(expected, streamed(holed)), "gap");
  t.is(verify.checkReply(expected, answer(`${own} error`)), "garbled");
});

test("checks the owner of a plain service's answer", (t) => {
  const reply = (value: unknown): verify.Reply => ({
    type: "plain",
    body: JSON.stringify(value),
  });
  const whole = { owner: marker.id, end: marker.id };
  t.is(verify.checkReply(expected, reply(whole)), undefined);
  t.is(verify.checkReply(expected, reply({ ...whole, owner: "x" })), "crossed");
  const cut: verify.Reply = { type: "plain", body: '{"owner": "0123' };
  t.is(verify.checkReply(expected, cut), "truncated");
});

test("catches a second run only where it is forbidden", (t) => {
  const once = { ...expected, idempotent: false };
  const twice = { "dive-desk": share(2) };
  t.is(verify.checkRuns(once, answer(own), twice), "run-twice");
  t.is(verify.checkRuns(expected, answer(own), twice), undefined);
  const stages = { "lm-pool": share(2, 1) };
  t.is(verify.checkRuns(once, answer(own), stages), undefined);
});

test("catches a refusal that ran, and an answer that did not", (t) => {
  const refused: verify.Reply = {
    type: "problem",
    status: 503,
    name: "overloaded",
    outcome: "not-run",
  };
  const ran = { encoders: share(1) };
  t.is(verify.checkRuns(expected, refused, ran), "ran-though-refused");
  t.is(verify.checkRuns(expected, refused), undefined);
  const unknown: verify.Reply = { ...refused, outcome: "unknown" };
  t.is(verify.checkRuns(expected, unknown, ran), undefined);
  t.is(verify.checkRuns(expected, answer(own)), "answered-without-run");
});

test("counts silence as a violation", (t) => {
  t.is(verify.checkReply(expected, { type: "silence" }), "no-final-answer");
});
