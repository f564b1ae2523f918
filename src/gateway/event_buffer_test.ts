/** @module */

import test from "ava";
import * as eventBuffers from "./event_buffer.ts";

/** The events that are returned for each chunk, and their last id. */
function feed(...chunks: string[]) {
  const buffer = eventBuffers.EventBuffer.create();
  const complete = chunks.map((chunk) => {
    const { bytes, lastId } = buffer.push(Buffer.from(chunk));
    return [bytes.toString(), lastId];
  });
  return { whole: complete, isOpen: buffer.hasPartialEvent };
}

test("only complete events are returned", (t) => {
  const { whole, isOpen } = feed("id: 1\ndata: a\n", "\nid: 2\nda");
  t.deepEqual(whole, [["", undefined], ["id: 1\ndata: a\n\n", "1"]]);
  t.true(isOpen);
});

test("the last of several ids is returned", (t) => {
  const { whole, isOpen } = feed("id: 1\n\nid: 2\n\n");
  t.deepEqual(whole, [["id: 1\n\nid: 2\n\n", "2"]]);
  t.false(isOpen);
});

test("lines may end with a carriage return and a line feed", (t) => {
  const { whole } = feed("id: 7\r\ndata: x\r\n\r\n");
  t.deepEqual(whole, [["id: 7\r\ndata: x\r\n\r\n", "7"]]);
});
