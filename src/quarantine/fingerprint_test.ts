/** @module */

import test from "ava";
import * as fingerprints from "./fingerprint.ts";

const CONTENT: fingerprints.RequestContent = {
  method: "POST",
  host: "app.example",
  target: "/book?seat=1",
  account: "club",
  body: Buffer.from("body"),
};

test("the same content has the same fingerprint", (t) => {
  const again = { ...CONTENT, body: Buffer.from("body") };
  t.is(fingerprints.of(again), fingerprints.of(CONTENT));
});

test("the fingerprint covers each part of a request's content", (t) => {
  const changes: Partial<fingerprints.RequestContent>[] = [
    { method: "PUT" },
    { host: "other.example" },
    { target: "/book?seat=2" },
    { account: "other" },
    { account: undefined },
    { body: Buffer.from("other") },
    { body: Buffer.alloc(0) },
  ];
  const all = [{}, ...changes].map((change) =>
    fingerprints.of({ ...CONTENT, ...change })
  );
  t.is(new Set(all).size, all.length);
});

test("text moved between parts of a request changes the fingerprint", (t) => {
  const one = { ...CONTENT, host: "a", target: "b" };
  const other = { ...CONTENT, host: 'a","b', target: "" };
  t.not(fingerprints.of(one), fingerprints.of(other));
});

test("fingerprints of parts differ from each other and from those of requests", (t) => {
  const ids = ["a", "b", "a,b", "x".repeat(49), "x".repeat(50), "", "\u00e4"];
  const all = ids.map(fingerprints.ofPart);
  t.is(new Set(all).size, all.length);
  t.true(all.every(fingerprints.isOfPart));
  t.true(all.every(({ length }) => length <= 64));
  t.false(fingerprints.isOfPart(fingerprints.of(CONTENT)));
});
