/** @module */

import * as stream from "node:stream";
import test from "ava";
import * as readSlices from "./read_slices.ts";

/** Milliseconds that a reader of these tests takes for a slice, as a parser does
 * for some hundreds of chunks. */
const SLICE_MS = 2;
const BYTES = 64 * 1024;

/** Slices whose turns the test runs, with readers that take time for each. */
function createSlices() {
  let now = 1000;
  const callbacks: (() => void)[] = [];
  const slices = readSlices.ReadSlices.create({
    now: () => now,
    afterTurn: (callback) => void callbacks.push(callback),
  });
  /** A connection that has received bytes, and what its reader has taken. */
  const connect = (
    bytes: Buffer,
    { isEnded = false, sliceMs = SLICE_MS } = {},
  ) => {
    const connection = new stream.Duplex({ read() {}, write() {} });
    slices.watch(connection as never);
    const taken: Buffer[] = [];
    connection.on("readable", () => {
      for (;;) {
        const slice = connection.read();
        if (slice === null) return;
        now += sliceMs;
        taken.push(slice);
      }
    });
    connection.push(bytes);
    if (isEnded) connection.push(null);
    return { connection, taken };
  };
  /** Runs what waits for the next turn; returns whether anything did. */
  const nextTurn = async () => {
    const due = callbacks.splice(0);
    due.forEach((callback) => callback());
    await settled();
    return due.length > 0;
  };
  return { connect, nextTurn, now: () => now };
}

/** Resolves once the events of a stream are emitted. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function sizeOf(slices: readonly Buffer[]): number {
  return slices.reduce((sum, { length }) => sum + length, 0);
}

// Guards against turns of seconds in which a host accepts no connection: an endpoint
// that sends chunks of one byte makes each read cost thousands of callbacks.
test("a turn ends soon, however much has come on a connection", async (t) => {
  const { connect, now } = createSlices();
  const before = now();
  const { taken } = connect(Buffer.alloc(BYTES, "x"));
  await settled();
  t.true(taken.length > 0);
  t.true(now() - before <= 10, `${now() - before} ms`);
});

// Guards against a connection that gets the whole time of all turns.
test("each connection gets a slice in each turn", async (t) => {
  const { connect, nextTurn } = createSlices();
  const all = Array.from({ length: 14 }, () => connect(Buffer.alloc(BYTES)));
  await settled();
  for (let turn = 1; turn <= 5; turn++) {
    t.true(all.every(({ taken }) => taken.length >= turn), `turn ${turn}`);
    await nextTurn();
  }
});

test("all bytes are read in their order, and then the end", async (t) => {
  const { connect, nextTurn } = createSlices();
  const bytes = Buffer.from(
    Array.from({ length: BYTES }, (_, index) => index % 251),
  );
  const { connection, taken } = connect(bytes, { isEnded: true });
  let isEnded = false;
  connection.on("end", () => isEnded = true);
  await settled();
  t.false(isEnded);
  while (await nextTurn());
  t.true(Buffer.concat(taken).equals(bytes));
  t.true(isEnded);
});

// Guards against a parser that goes through all that was read although its head was
// too large: that takes some hundred milliseconds.
test("a closed connection is read no further", async (t) => {
  const { connect, nextTurn } = createSlices();
  const { connection, taken } = connect(Buffer.alloc(BYTES));
  connection.prependListener("readable", () => connection.destroy());
  await settled();
  while (await nextTurn());
  t.is(sizeOf(taken), 0);
});

test("a slice is small", async (t) => {
  const { connect } = createSlices();
  const { taken } = connect(Buffer.alloc(BYTES));
  await settled();
  t.true(taken.every(({ length }) => length <= 8 * 1024));
});

// Guards against sound answers that take longer: while a turn has time left, all
// that has come is read.
test("bytes that take little time are read in one turn", async (t) => {
  const slices = readSlices.ReadSlices.create({
    now: () => 0,
    afterTurn() {},
  });
  const connection = new stream.Duplex({ read() {}, write() {} });
  slices.watch(connection as never);
  let size = 0;
  connection.on("readable", () => {
    for (;;) {
      const slice = connection.read();
      if (slice === null) return;
      size += slice.length;
    }
  });
  connection.push(Buffer.alloc(4_000_000));
  await settled();
  t.is(size, 4_000_000);
});

// Guards against a whole answer that is lost in the buffer of a connection which is
// reset behind it, while other endpoints use up the time of each turn.
test("what waits on a connection that breaks is read to its end", async (t) => {
  const { connect } = createSlices();
  const busy = connect(Buffer.alloc(BYTES));
  const { connection, taken } = connect(Buffer.alloc(BYTES));
  connection.on("error", () => {});
  await settled();
  t.true(sizeOf(taken) < BYTES);
  connection.destroy(Object.assign(new Error(), { syscall: "read" }));
  t.is(sizeOf(taken), BYTES);
  t.true(sizeOf(busy.taken) < BYTES);
});

// Guards against a host that goes on to parse an answer which it has ended.
test("what waits on a connection that this host closes is dropped", async (t) => {
  const { connect } = createSlices();
  const { connection, taken } = connect(Buffer.alloc(BYTES));
  connection.on("error", () => {});
  await settled();
  const before = sizeOf(taken);
  connection.destroy(new Error("call cancelled"));
  await settled();
  t.is(sizeOf(taken), before);
});

// Guards against sound answers that wait for many turns beside an endless one.
test("a connection that takes little time does not wait for the others", async (t) => {
  const { connect } = createSlices();
  connect(Buffer.alloc(BYTES));
  await settled();
  const { taken } = connect(Buffer.alloc(BYTES), { sliceMs: 0 });
  await settled();
  t.is(sizeOf(taken), BYTES);
});
