import test from "ava";
import * as gossipQueues from "./gossip_queue.ts";

interface Entry {
  id: string;
  urgent: boolean;
}

const ENTRY_BYTES = 40;
const NEIGHBOURS = ["n1", "n2", "n3"];
const SEND_OPTIONS: gossipQueues.SendOptions<Entry> = {
  neighbours: NEIGHBOURS,
  sizeOf: () => ENTRY_BYTES,
  isUrgent: ({ urgent }) => urgent,
  maxEntries: 32,
};

function fill(count: number, urgent = false): gossipQueues.GossipQueue<Entry> {
  let queue = gossipQueues.create<Entry>();
  for (let pos = 0; pos < count; pos++) {
    queue = gossipQueues.enqueue(queue, { id: `e${pos}`, urgent }, "n1");
  }
  return queue;
}

test("a large backlog is sent at a limited rate and completely", (t) => {
  let queue = fill(500);
  const sent = new Map<string, Set<string>>();
  let largest = 0;
  let now = 0;
  for (; queue.items.size > 0 && now < 120_000; now += 100) {
    const taken = gossipQueues.dequeue(queue, now, SEND_OPTIONS);
    queue = taken.queue;
    const entries = taken.batches.flatMap(({ entries }) => entries);
    largest = Math.max(largest, entries.length * ENTRY_BYTES);
    for (const { to, entries } of taken.batches) {
      const known = sent.get(to) ?? new Set();
      for (const { id } of entries) known.add(id);
      sent.set(to, known);
    }
  }
  t.is(queue.items.size, 0);
  t.false(sent.has("n1"));
  t.is(sent.get("n2")!.size, 500);
  t.is(sent.get("n3")!.size, 500);
  t.true(largest <= gossipQueues.BURST_BYTES + 32 * ENTRY_BYTES);
  t.true(now > 10_000);
});

test("urgent updates are sent at once, before the backlog", (t) => {
  const first = gossipQueues.dequeue(fill(500), 0, SEND_OPTIONS);
  const refutation = { id: "r1", urgent: true };
  const queue = gossipQueues.enqueue(first.queue, refutation, "self");
  const { batches } = gossipQueues.dequeue(queue, 100, SEND_OPTIONS);
  t.deepEqual(batches.map(({ to }) => to).sort(), NEIGHBOURS);
  t.true(batches.every(({ entries }) => entries[0].id === "r1"));
});

test("a neighbour that already knows an update gets no copy", (t) => {
  const queue = gossipQueues.markKnown(fill(1), "e0", "n2");
  const { batches, queue: rest } = gossipQueues.dequeue(
    queue,
    0,
    SEND_OPTIONS,
  );
  t.deepEqual(batches.map(({ to }) => to), ["n3"]);
  t.is(rest.items.size, 0);
});
