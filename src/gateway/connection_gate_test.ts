/** @module */

import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as connectionGates from "./connection_gate.ts";

/** Milliseconds that a turn of the event loop takes to read a connection, and to
 * close one. */
const READ_MS = 7;
const CLOSE_MS = 0.2;

/** A gate whose event loop accepts one connection in each turn. */
function loopOf() {
  const clock = new runtime.FakeClock();
  const callbacks: (() => void)[] = [];
  const gate = connectionGates.ConnectionGate.create({
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    afterTurn: (callback) => void callbacks.push(callback),
  });
  /** Offers `rate` connections a second for `span` milliseconds; returns how
   * many were read, of how many, and the longest wait of one that was. */
  const offer = (rate: number, span: number) => {
    const start = clock.now();
    const seen = { read: 0, of: 0, wait: 0 };
    while (clock.now() < start + span) {
      const arrivesAt = start + 1000 * seen.of / rate;
      if (arrivesAt <= clock.now()) {
        let isClosed = false;
        gate.take({ destroy: () => void (isClosed = true) } as never);
        seen.of++;
        if (!isClosed) {
          seen.read++;
          seen.wait = Math.max(seen.wait, clock.now() - arrivesAt);
        }
        clock.advance(isClosed ? CLOSE_MS : READ_MS);
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
