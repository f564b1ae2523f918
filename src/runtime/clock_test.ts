/** @module */

import * as net from "node:net";
import test from "ava";
import * as clocks from "./clock.ts";

/** Milliseconds for which the process is busy, and of a timer meanwhile. */
const BUSY_MS = 100;
const TIMER_MS = 20;

function stayBusy(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end);
}

// Guards against timeouts that take the standstill of this process for the
// silence of another one, whose bytes wait to be read.
test("a timer that is late runs after bytes that have arrived meanwhile", async (t) => {
  const server = net.createServer();
  t.teardown(() => server.close());
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const accepted = new Promise<net.Socket>((resolve) =>
    server.once("connection", resolve)
  );
  const { port } = server.address() as net.AddressInfo;
  const client = net.connect(port, "127.0.0.1");
  t.teardown(() => client.destroy());
  await new Promise<void>((resolve) => client.once("connect", () => resolve()));
  const sender = await accepted;
  t.teardown(() => sender.destroy());
  const seen: string[] = [];
  const received = new Promise<void>((resolve) =>
    client.once("data", () => {
      seen.push("bytes");
      resolve();
    })
  );
  const fired = new Promise<void>((resolve) =>
    clocks.systemClock.after(TIMER_MS, () => {
      seen.push("timer");
      resolve();
    })
  );
  sender.write("x");
  stayBusy(BUSY_MS);
  await Promise.all([received, fired]);
  t.deepEqual(seen, ["bytes", "timer"]);
});

// Guards against a callback that runs although its timer was cancelled.
test("a timer that is cancelled while bytes are read does not run", async (t) => {
  const { systemClock } = clocks;
  let hasRun = false;
  const cancel = systemClock.after(0, () => hasRun = true);
  // Fires in the same turn after the timer, before its callback.
  setTimeout(cancel, 1);
  stayBusy(BUSY_MS);
  await new Promise((resolve) => setTimeout(resolve, TIMER_MS));
  t.false(hasRun);
});
