/** @module */

import test from "ava";
import * as eventText from "./event_buffer.ts";

/** What is passed on of each part, and the last id with it. */
function feed(...parts: string[]) {
  const text = eventText.EventBuffer.create();
  const whole = parts.map((part) => {
    const { bytes, lastId } = text.push(Buffer.from(part));
    return [bytes.toString(), lastId];
  });
  return { whole, isOpen: text.hasPartialEvent };
}

test("only whole events are passed on", (t) => {
  const { whole, isOpen } = feed("id: 1\ndata: a\n", "\nid: 2\nda");
  t.deepEqual(whole, [["", undefined], ["id: 1\ndata: a\n\n", "1"]]);
  t.true(isOpen);
});

test("the last of some ids counts", (t) => {
  const { whole, isOpen } = feed("id: 1\n\nid: 2\n\n");
  t.deepEqual(whole, [["id: 1\n\nid: 2\n\n", "2"]]);
  t.false(isOpen);
});

test("lines may end with a carriage return", (t) => {
  const { whole } = feed("id: 7\r\ndata: x\r\n\r\n");
  t.deepEqual(whole, [["id: 7\r\ndata: x\r\n\r\n", "7"]]);
});
