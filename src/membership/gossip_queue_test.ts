import test from "ava";
import * as outboxes from "./gossip_queue.ts";

interface Entry {
  id: string;
  urgent: boolean;
}

const COST = 40;
const NEIGHBOURS = ["n1", "n2", "n3"];
const SENDING: outboxes.SendOptions<Entry> = {
  neighbours: NEIGHBOURS,
  sizeOf: () => COST,
  isUrgent: ({ urgent }) => urgent,
  maxEntries: 32,
};

function fill(count: number, urgent = false): outboxes.GossipQueue<Entry> {
  let outbox = outboxes.create<Entry>();
  for (let pos = 0; pos < count; pos++) {
    outbox = outboxes.enqueue(outbox, { id: `e${pos}`, urgent }, "n1");
  }
  return outbox;
}

test("many losses go at a bounded rate, and all go in the end", (t) => {
  let outbox = fill(500);
  const sent = new Map<string, Set<string>>();
  let most = 0;
  let now = 0;
  for (; outbox.items.size > 0 && now < 120_000; now += 100) {
    const taken = outboxes.dequeue(outbox, now, SENDING);
    outbox = taken.outbox;
    const entries = taken.parcels.flatMap(({ entries }) => entries);
    most = Math.max(most, entries.length * COST);
    for (const { to, entries } of taken.parcels) {
      const known = sent.get(to) ?? new Set();
      for (const { id } of entries) known.add(id);
      sent.set(to, known);
    }
  }
  t.is(outbox.items.size, 0);
  t.false(sent.has("n1"));
  t.is(sent.get("n2")!.size, 500);
  t.is(sent.get("n3")!.size, 500);
  t.true(most <= outboxes.BURST_BYTES + 32 * COST);
  t.true(now > 10_000);
});

test("what is urgent goes at once, before what waits", (t) => {
  const first = outboxes.dequeue(fill(500), 0, SENDING);
  const refutation = { id: "r1", urgent: true };
  const outbox = outboxes.enqueue(first.outbox, refutation, "self");
  const { parcels } = outboxes.dequeue(outbox, 100, SENDING);
  t.deepEqual(parcels.map(({ to }) => to).sort(), NEIGHBOURS);
  t.true(parcels.every(({ entries }) => entries[0].id === "r1"));
});

test("a neighbour that has told of a change gets no copy", (t) => {
  const outbox = outboxes.markKnown(fill(1), "e0", "n2");
  const { parcels, outbox: rest } = outboxes.dequeue(outbox, 0, SENDING);
  t.deepEqual(parcels.map(({ to }) => to), ["n3"]);
  t.is(rest.items.size, 0);
});
