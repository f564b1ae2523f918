/** Connections beside answers that end with their own one, around a standstill of this
 * process; apart from other tests, which it would delay.
 * @module */

import * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as standstill from "../runtime/standstill.ts";
import * as standstillFixture from "../runtime/standstill_fixture.ts";
import type * as companions from "./companion.ts";
import * as connector from "./connector.ts";
import * as exchangeFixture from "./exchange_fixture.ts";

const HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
/** Milliseconds from the head of a long answer to its end. */
const ANSWER_MS = 300;
/** Milliseconds of a standstill in which an endpoint may start again. */
const RESTART_MS = 250;

/** An endpoint that sends the head and a part of each answer. */
interface Endpoint {
  readonly url: string;
  readonly port: number;
  /** Its connections, in the order in which they were opened. */
  readonly opened: net.Socket[];
  /** Ends all connections, and listens with another process's state. */
  replace(): void;
}

/** Starts an endpoint; `onOpen` is called with each connection and its number. */
async function startEndpoint(
  t: ava.ExecutionContext,
  onOpen: (socket: net.Socket, number: number) => void = () => {},
): Promise<Endpoint> {
  // The standstill of the test before is too long ago to count.
  await timers.setTimeout(standstill.BACKLOG_MS);
  const opened: net.Socket[] = [];
  const server = net.createServer((socket) => {
    onOpen(socket, opened.push(socket));
    socket.on("error", () => {});
    socket.once("data", () => socket.write(`${HEAD}body`));
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.close();
    opened.forEach((socket) => socket.destroy());
  });
  const { port } = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    opened,
    replace() {
      server.close();
      opened.forEach((socket) => socket.destroySoon());
      const next = net.createServer((socket) => {
        socket.on("error", () => {}).resume();
      });
      next.listen(port, "127.0.0.1");
      t.teardown(() => next.close());
    },
  };
}

/** Sends a call; resolves with what became of it. */
function fetch(
  t: ava.ExecutionContext,
  url: string,
  destination?: companions.Destination,
): Promise<exchangeFixture.Result> {
  const connect = connector.create({ timeout: 500 });
  const dispatcher = new undici.Agent({
    connect: destination === undefined ? connect : (options, callback) => {
      const socket = net.connect(Number(options.port), options.hostname);
      socket.once("connect", () => {
        connector.prepare(socket, { destination });
        callback(null, socket);
      });
    },
  });
  t.teardown(() => dispatcher.destroy());
  return exchangeFixture.send(dispatcher, { url });
}

const WHOLE: exchangeFixture.Result = {
  body: "body",
  connectionEnd: "orderly",
};
const LATE: exchangeFixture.Result = {
  body: "body",
  reason: "broken-stream",
  outcome: "unknown",
  connectionEnd: "late",
};

// Guards against a part of an answer that counts as whole: another process listens at
// the endpoint's address by the time at which its end is noticed.
test.serial("an answer fails if its endpoint is replaced during a short standstill", async (t) => {
  const endpoint = await startEndpoint(t);
  const fetched = fetch(t, endpoint.url);
  await timers.setTimeout(ANSWER_MS);
  endpoint.replace();
  standstillFixture.standStill(RESTART_MS);
  t.deepEqual(await fetched, LATE);
});

// Guards against whole answers that are lost as their end is noticed late.
for (const span of [0, RESTART_MS, standstillFixture.STANDSTILL_MS]) {
  test.serial(`an answer is whole if its endpoint goes on behind a standstill of ${span} ms`, async (t) => {
    const endpoint = await startEndpoint(t);
    const fetched = fetch(t, endpoint.url);
    await timers.setTimeout(ANSWER_MS);
    endpoint.opened[0].end();
    if (span > 0) standstillFixture.standStill(span);
    t.deepEqual(await fetched, WHOLE);
  });
}

const CLOSES: Record<string, (socket: net.Socket) => void> = {
  "resets": (socket) => socket.resetAndDestroy(),
  "ends": (socket) => socket.end(),
  "ends after a while": (socket) => {
    setTimeout(() => socket.end(), ANSWER_MS / 3);
  },
};

// Guards against whole answers that are lost at endpoints which close connections that
// carry nothing.
for (const [name, close] of Object.entries(CLOSES)) {
  for (const span of [0, RESTART_MS]) {
    test.serial(`an answer of an endpoint that ${name} other connections is whole behind a standstill of ${span} ms`, async (t) => {
      const endpoint = await startEndpoint(t, (socket, number) => {
        if (number > 1) close(socket);
      });
      const fetched = fetch(t, endpoint.url);
      await timers.setTimeout(ANSWER_MS);
      endpoint.opened[0].end();
      if (span > 0) standstillFixture.standStill(span);
      t.deepEqual(await fetched, WHOLE);
    });
  }
}

test.serial("an answer is whole if no other connection can be opened", async (t) => {
  const endpoint = await startEndpoint(t);
  const fetched = fetch(t, endpoint.url, {
    key: "unreachable",
    dial(callback) {
      callback(new Error("unreachable"));
      return () => {};
    },
  });
  await timers.setTimeout(ANSWER_MS);
  endpoint.opened[0].end();
  standstillFixture.standStill(RESTART_MS);
  t.deepEqual(await fetched, WHOLE);
});

// Guards against connections for each answer, of which endpoints accept few, and
// against some that stay open.
test.serial("answers of one endpoint share a connection, which is closed behind them", async (t) => {
  const endpoint = await startEndpoint(t);
  const fetched = [1, 2, 3].map(() => fetch(t, endpoint.url));
  await timers.setTimeout(ANSWER_MS);
  t.is(endpoint.opened.length, 4);
  const shared = endpoint.opened[3];
  const closed = new Promise((resolve) => shared.once("close", resolve));
  const answering = endpoint.opened.slice(0, 3);
  for (const socket of answering) {
    t.false(shared.destroyed);
    socket.end();
    await timers.setTimeout(ANSWER_MS / 3);
  }
  t.deepEqual(await Promise.all(fetched), [WHOLE, WHOLE, WHOLE]);
  await closed;
});

test.serial("an answer that ends soon opens no other connection", async (t) => {
  const endpoint = await startEndpoint(t, (socket) => {
    socket.once("data", () => setImmediate(() => socket.end()));
  });
  t.deepEqual(await fetch(t, endpoint.url), WHOLE);
  const [answering, ...others] = endpoint.opened;
  await timers.setTimeout(ANSWER_MS);
  // That which checks whether the endpoint has stopped.
  t.true(answering.bytesRead > 0);
  t.deepEqual(others.map(({ bytesRead }) => bytesRead), [0]);
});
