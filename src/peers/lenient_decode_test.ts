/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as fleet from "../schema/fleet_validators.ts";
import * as lenientDecode from "./lenient_decode.ts";

const OPTIONS = { validate: fleet.validate, lists: ["sightings", "uses"] };

function sighting(id: string, change: object = {}) {
  return { ...fixture.endpointStatus({ id }), age: 0, ...change };
}

function note(...sightings: unknown[]) {
  return { type: "ask", id: 1, body: { type: "note", sightings } };
}

function ids(message: { body: { sightings: unknown[] } }) {
  return message.body.sightings.map((each) => (each as { id: string }).id);
}

const INVALID: Record<string, unknown> = {
  "an empty service": sighting("x", { service: "" }),
  "a name that is too long": sighting("x", { address: "1".repeat(300) }),
  "a field of another type": sighting("x", { slots: "4" }),
  "a state that is not known": sighting("x", { state: "asleep" }),
  "a start that is no whole number": sighting("x", { born: 1.5 }),
  "a field missing": { id: "x" },
  "no object": 7,
};

for (const [fault, entry] of Object.entries(INVALID)) {
  test(`an entry with ${fault} does not invalidate the others`, (t) => {
    const message = note(sighting("a"), entry, sighting("b"));
    t.deepEqual(lenientDecode.decode(message, OPTIONS), ["sightings"]);
    t.deepEqual(ids(message), ["a", "b"]);
  });
}

test("a valid message is unchanged, even with fields of a later release", (t) => {
  const message = note(sighting("a", { colour: "red" }));
  const before = structuredClone(message);
  t.deepEqual(lenientDecode.decode({ ...message, later: 1 }, OPTIONS), []);
  t.deepEqual(message, before);
});

test("a message that is invalid outside of its lists is rejected", (t) => {
  const message = { ...note(sighting("a")), id: "one" };
  t.is(lenientDecode.decode(message, OPTIONS), undefined);
});

test("a message with too many invalid entries is rejected", (t) => {
  const message = note(...Array.from({ length: 100 }, () => 7));
  t.is(lenientDecode.decode(message, OPTIONS), undefined);
});
