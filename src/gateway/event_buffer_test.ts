/** @module */

import test from "ava";
import * as eventBuffers from "./event_buffer.ts";
import * as eventOrders from "./event_order.ts";

/** The events that are returned for each chunk, and their last id. */
function feed(...chunks: string[]) {
  const buffer = eventBuffers.EventBuffer.create();
  const complete = chunks.map((chunk) => {
    const { bytes, order } = buffer.push(Buffer.from(chunk));
    return [bytes.toString(), order.lastSentId];
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

test("ids that do not increase are out of order", (t) => {
  const orderOf = (text: string, resumedAfter?: string) =>
    eventBuffers.EventBuffer.create({
      order: eventOrders.EventOrder.create({ resumedAfter }),
    }).push(Buffer.from(text)).isInOrder;
  t.true(orderOf("id: 1\n\nid: 3\n\n"));
  t.true(orderOf("id: 9\n\nid: 10\n\n"));
  t.true(orderOf("data: a\n\nid: x\n\nid: x\n\n"));
  t.true(orderOf("id: 3\n\n", "2"));
  t.false(orderOf("id: 2\n\nid: 2\n\n"));
  t.false(orderOf("id: 2\n\nid: 1\n\n"));
  t.false(orderOf("id: 1\n\nid: 3\n\n", "2"));
});

test("ids are in order over all chunks", (t) => {
  const buffer = eventBuffers.EventBuffer.create();
  t.true(buffer.push(Buffer.from("id: 4\n\nid: 5\n")).isInOrder);
  t.true(buffer.push(Buffer.from("\nid: 4\n")).isInOrder);
  t.false(buffer.push(Buffer.from("\n")).isInOrder);
});

// Guards against ids that are missed, or found in data, where a chunk ends inside
// of their line.
test("ids are the same however the stream is cut into chunks", (t) => {
  const text = "id: 1\r\ndata: id: 9\r\n\r\n: id: 8\n\nid:7\nid: 2\n\n";
  for (let first = 0; first <= text.length; first++) {
    for (let second = first; second <= text.length; second++) {
      const buffer = eventBuffers.EventBuffer.create();
      const cuts = [0, first, second, text.length];
      const orders = cuts.slice(1).map((end, index) =>
        buffer.push(Buffer.from(text.slice(cuts[index], end)))
      );
      const { order } = orders.at(-1)!;
      if (orders.some((each) => !each.isInOrder) || order.lastId !== "2") {
        return t.fail(`cut at ${first} and ${second}: ${order.lastId}`);
      }
    }
  }
  t.pass();
});

test("lines may end with a carriage return and a line feed", (t) => {
  const { whole } = feed("id: 7\r\ndata: x\r\n\r\n");
  t.deepEqual(whole, [["id: 7\r\ndata: x\r\n\r\n", "7"]]);
});

// Guards against ends that are missed, or found twice, where a chunk ends inside
// of them.
test("events are the same however the stream is cut into chunks", (t) => {
  const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n\nid: 3\n\nid: 4\nd";
  const expected = text.slice(0, text.indexOf("id: 4"));
  for (let first = 0; first <= text.length; first++) {
    for (let second = first; second <= text.length; second++) {
      const { whole, isOpen } = feed(
        text.slice(0, first),
        text.slice(first, second),
        text.slice(second),
      );
      const bytes = whole.map(([each]) => each).join("");
      if (bytes !== expected || !isOpen) {
        return t.fail(`cut at ${first} and ${second}: ${bytes}`);
      }
    }
  }
  t.pass();
});

const RUN_COUNT = 8;

// Guards against time that grows with the square of an event's size: each chunk
// copied the whole event, 32 GB for one of 32 MB.
test("an event without an end takes time in proportion to its size", (t) => {
  const chunk = Buffer.alloc(16 * 1024, "x");
  const measure = () => {
    const buffer = eventBuffers.EventBuffer.create();
    const pushAll = (count: number) => {
      const start = performance.now();
      for (let index = 0; index < count; index++) buffer.push(chunk);
      return performance.now() - start;
    };
    const early = pushAll(500);
    pushAll(1000);
    const late = pushAll(500);
    t.true(buffer.heldBytes >= 2000 * chunk.length);
    return { early, late };
  };
  // A busy machine adds to single runs, not to the shortest of several.
  const runs = Array.from({ length: RUN_COUNT }, measure);
  t.log(runs);
  const early = Math.min(...runs.map((each) => each.early));
  const late = Math.min(...runs.map((each) => each.late));
  t.true(late <= 10 * early + 20, `${early} ms, then ${late} ms`);
});
