/** @module */

import test from "ava";
import * as fixture from "./fixture.ts";
import * as receivedHandles from "./received_handles.ts";

function received(handle: string, request: string, itemIndex = 0) {
  const [item] = fixture.tasks(request, 1, { itemIndex });
  return { handle, item };
}

test("handles tell whether an answer is new, repeated or of other items", (t) => {
  const handles = receivedHandles.ReceivedHandles.create();
  const record = (...all: receivedHandles.ReceivedHandle[]) =>
    handles.record("i-1", all);
  t.is(record(), "unknown");
  t.is(record(received("x", "a"), received("y", "b")), "own");
  t.is(record(received("x", "a")), "repeated");
  t.is(record(received("x", "a"), received("z", "c")), "repeated");
  t.is(record(received("x", "b")), "foreign");
  t.is(record(received("x", "a", 1)), "foreign");
  t.is(record(received("w", "d"), received("y", "d")), "foreign");
  t.is(record(received("w", "e")), "own", "a foreign answer is not recorded");
});

test("another incarnation may give the same handles", (t) => {
  const handles = receivedHandles.ReceivedHandles.create();
  t.is(handles.record("i-1~1", [received("x", "a")]), "own");
  t.is(handles.record("i-1~2", [received("x", "b")]), "own");
});

test("the oldest handles are forgotten", (t) => {
  const handles = receivedHandles.ReceivedHandles.create();
  for (let number = 0; number < 20_000; number++) {
    handles.record("i-1", [received(`${number}`, "a")]);
  }
  t.is(handles.record("i-1", [received("19999", "b")]), "foreign");
  t.is(handles.record("i-1", [received("0", "b")]), "own");
});
