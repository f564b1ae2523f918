import * as events from "node:events";
import test from "ava";
import * as fakeClocks from "../runtime/fake_clock.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as connectionLimits from "./connection_limit.ts";

/** A connection that records its end. */
function socketOf() {
  const socket = Object.assign(new events.EventEmitter(), {
    destroyed: false,
    destroy() {
      socket.destroyed = true;
      socket.emit("close");
    },
  });
  return socket as unknown as connectionLimits.Socket & { destroyed: boolean };
}

function limitOf(bounds: connectionLimits.ConnectionBounds) {
  const closed: unknown[] = [];
  const clock = new fakeClocks.FakeClock();
  const limit = connectionLimits.ConnectionLimit.create({
    ...bounds,
    clock,
    logger: telemetry.noLogger,
    metrics: {
      ...telemetry.noMetrics,
      count: (_name, _value, labels) => void closed.push(labels?.reason),
    },
    server: "callers",
  });
  const connect = () => {
    const socket = socketOf();
    limit.take(socket);
    return socket;
  };
  const begin = (
    socket: connectionLimits.Socket,
    { complete = true } = {},
  ) => {
    const response = new events.EventEmitter();
    const request = { complete };
    const isServed = limit.begin(socket, {
      request,
      response: response as never,
    });
    return { isServed, end: () => response.emit("close") };
  };
  return { limit, clock, closed, connect, begin };
}

test("a new connection takes the place of the one that was idle for longest", (t) => {
  const { limit, closed, connect, begin } = limitOf({
    maxConnections: 3,
    maxPipelined: 8,
  });
  const [first, second, third] = [connect(), connect(), connect()];
  begin(first).end();
  const fourth = connect();
  t.deepEqual([first, second, third, fourth].map((each) => each.destroyed), [
    false,
    true,
    false,
    false,
  ]);
  t.deepEqual(closed, ["idle"]);
  t.is(limit.size, 3);
});

test("connections with a whole request in work keep their place", (t) => {
  const { closed, connect, begin } = limitOf({
    maxConnections: 2,
    maxPipelined: 8,
  });
  const [busy, receiving] = [connect(), connect()];
  begin(busy);
  begin(receiving, { complete: false });
  const third = connect();
  t.deepEqual([busy.destroyed, receiving.destroyed], [false, true]);
  begin(third);
  t.true(connect().destroyed);
  t.deepEqual(closed, ["idle", "full"]);
});

test("a connection with too many requests in work is closed", (t) => {
  const { limit, closed, connect, begin } = limitOf({
    maxConnections: 100,
    maxPipelined: 2,
  });
  const socket = connect();
  t.true(begin(socket).isServed);
  const second = begin(socket);
  t.true(second.isServed);
  second.end();
  t.true(begin(socket).isServed);
  t.false(begin(socket).isServed);
  t.true(socket.destroyed);
  t.false(begin(socket).isServed);
  t.deepEqual(closed, ["pipelined"]);
  t.is(limit.size, 0);
});

test("pipelined requests are bounded over all connections, others are not", (t) => {
  const { connect, begin } = limitOf({ maxConnections: 4, maxPipelined: 100 });
  const [crowd, other, third] = [connect(), connect(), connect()];
  for (let count = 0; count < 5; count++) t.true(begin(crowd).isServed);
  t.true(begin(other).isServed);
  t.true(begin(third).isServed);
  t.false(begin(third).isServed);
  t.true(third.destroyed);
});

// Guards against connections that are closed one after another, each with calls
// whose connections are still open.
test("requests of ended connections count until their calls' connections close", (t) => {
  const { limit, clock, connect, begin } = limitOf({
    maxConnections: 4,
    maxPipelined: 100,
  });
  for (let round = 0; round < 10; round++) {
    const socket = connect();
    const requests = Array.from({ length: 5 }, () => begin(socket));
    t.true(requests.every(({ isServed }) => isServed));
    socket.destroy();
    requests.forEach(({ end }) => end());
    const next = connect();
    t.deepEqual([begin(next), begin(next)].map(({ isServed }) => isServed), [
      true,
      false,
    ]);
    clock.advance(2000);
  }
  t.is(limit.size, 0);
});
