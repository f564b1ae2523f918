/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as fleet from "../schema/fleet_validators.ts";
import * as lenientDecode from "./lenient_decode.ts";

const READING = { validate: fleet.validate, lists: ["sightings", "uses"] };

function sighting(id: string, change: object = {}) {
  return { ...fixture.endpointStatus({ id }), age: 0, ...change };
}

function note(...sightings: unknown[]) {
  return { type: "ask", id: 1, body: { type: "note", sightings } };
}

function ids(message: { body: { sightings: unknown[] } }) {
  return message.body.sightings.map((each) => (each as { id: string }).id);
}

const WRONG: Record<string, unknown> = {
  "an empty service": sighting("x", { service: "" }),
  "a name that is too long": sighting("x", { address: "1".repeat(300) }),
  "a field of another type": sighting("x", { slots: "4" }),
  "a state that is not known": sighting("x", { state: "asleep" }),
  "a start that is no whole number": sighting("x", { born: 1.5 }),
  "a field missing": { id: "x" },
  "another shape": 7,
};

for (const [what, entry] of Object.entries(WRONG)) {
  test(`an entry with ${what} does not cost the others`, (t) => {
    const message = note(sighting("a"), entry, sighting("b"));
    t.deepEqual(lenientDecode.decode(message, READING), ["sightings"]);
    t.deepEqual(ids(message), ["a", "b"]);
  });
}

test("a message that is sound stays as it is, with fields of a later release", (t) => {
  const message = note(sighting("a", { colour: "red" }));
  const before = structuredClone(message);
  t.deepEqual(lenientDecode.decode({ ...message, later: 1 }, READING), []);
  t.deepEqual(message, before);
});

test("a message that is wrong outside of its lists is not read", (t) => {
  const message = { ...note(sighting("a")), id: "one" };
  t.is(lenientDecode.decode(message, READING), undefined);
});

test("a message that is wrong all over is given up", (t) => {
  const message = note(...Array.from({ length: 100 }, () => 7));
  t.is(lenientDecode.decode(message, READING), undefined);
});
