/** @module */

import type * as net from "node:net";
import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as acceptQueues from "./accept_queue.ts";
import * as connectionGates from "./connection_gate.ts";

/** Milliseconds that a turn of the event loop takes to read a connection, and to
 * accept one. */
const READ_MS = 7;
const ACCEPT_MS = 0.2;
/** Connections that the operating system keeps for the host. */
const BACKLOG = 511;

/** What became of the connections that were offered. */
interface Tally {
  of: number;
  read: number;
  closed: number;
  /** Most that were neither read nor closed. */
  held: number;
  /** Longest wait of one that was read, in milliseconds. */
  wait: number;
}

/** A gate whose event loop accepts one connection in each turn. */
function loopOf() {
  const clock = new runtime.FakeClock();
  let paused = 0;
  const callbacks: (() => void)[] = [];
  const readers = new WeakMap<net.Socket, () => void>();
  const gate = connectionGates.ConnectionGate.create({
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    processorTime: () => clock.now() - paused,
    read: (socket) => readers.get(socket)?.(),
    afterTurn: (callback) => void callbacks.push(callback),
  });
  const accept = (arrivesAt: number, seen: Tally) => {
    const socket = { destroy: () => void seen.closed++ } as never;
    readers.set(socket, () => {
      seen.read++;
      seen.wait = Math.max(seen.wait, clock.now() - arrivesAt);
      clock.advance(READ_MS);
    });
    seen.of++;
    gate.take(socket);
    seen.held = Math.max(seen.held, seen.of - seen.read - seen.closed);
    clock.advance(ACCEPT_MS);
  };
  /** Offers `rate` connections a second for `span` milliseconds. The process does
   * not run for some milliseconds in each of the first turns, `pauses`. */
  const offer = (
    rate: number,
    span: number,
    { pauses = [] }: { pauses?: readonly number[] } = {},
  ): Tally => {
    const start = clock.now();
    const left = [...pauses];
    const waiting: number[] = [];
    let arrivals = 0;
    const seen = { of: 0, read: 0, closed: 0, held: 0, wait: 0 };
    while (clock.now() < start + span) {
      for (; start + 1000 * arrivals / rate <= clock.now(); arrivals++) {
        if (waiting.length >= BACKLOG) continue;
        waiting.push(start + 1000 * arrivals / rate);
      }
      const arrivesAt = waiting.shift();
      if (arrivesAt !== undefined) {
        accept(arrivesAt, seen);
        const pause = left.shift() ?? 0;
        paused += pause;
        clock.advance(pause);
      } else clock.advance(1);
      callbacks.splice(0).forEach((callback) => callback());
    }
    return seen;
  };
  return { offer };
}

test("all connections are read if the host can serve them", (t) => {
  const { read, of } = loopOf().offer(120, 10_000);
  t.is(read, of);
});

test("of too many connections a host reads as many as it can serve, in time", (t) => {
  const { read, wait } = loopOf().offer(450, 10_000);
  t.true(read > 0.9 * 10_000 / READ_MS, `${read} read`);
  t.true(wait < 1000, `${wait} ms`);
});

test("all connections are read again once fewer come", (t) => {
  const { offer } = loopOf();
  offer(450, 5000);
  const { read, of } = offer(120, 5000);
  t.is(read, of);
});

// Guards against a host beside a busy machine that closes connections unread
// which it could read a moment later: they came while it stood still, and it is
// not run for most of the time that it has to read them.
test("what waits after a standstill is read by a process that rarely runs", (t) => {
  const pauses = [1500, 170, 360, 290, 190];
  const { of, read, closed } = loopOf().offer(17, 6000, { pauses });
  t.deepEqual({ read, closed }, { read: of, closed: 0 });
});

// Guards against connections that are held in place of the queue that they were
// taken from.
for (const rate of [160, 250, 450, 2000]) {
  test(`few connections are held and none waits for long at ${rate} a second`, (t) => {
    const { of, read, closed, held, wait } = loopOf().offer(rate, 20_000);
    t.log({ of, read, closed, held, wait });
    t.true(held <= acceptQueues.MAX_HELD_COUNT, `${held}`);
    t.true(wait < 1000, `${wait} ms`);
    const readingMs = 20_000 - closed * ACCEPT_MS;
    t.true(read > 0.9 * readingMs / READ_MS, `${read} read`);
    t.true(of - read - closed <= held);
  });
}
