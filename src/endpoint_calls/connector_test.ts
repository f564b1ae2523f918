/** @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as runtime from "../runtime/mod.ts";
import * as connector from "./connector.ts";
import * as exchange from "./exchange.ts";

/** Starts a server that sends `text` on each request and calls `end` after
 * `wait` milliseconds. */
async function serverOf(
  t: ava.ExecutionContext,
  text: string,
  end: (socket: net.Socket) => void,
  { wait = 30 }: { wait?: number } = {},
): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(text);
      if (wait === 0) end(socket);
      else setTimeout(() => end(socket), wait);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  return `http://127.0.0.1:${port}`;
}

/** Runs an exchange with the server; resolves with its body or failure. */
function fetch(t: ava.ExecutionContext, url: string): Promise<string> {
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: 500 }),
  });
  t.teardown(() => dispatcher.destroy());
  return new Promise((resolve) => {
    let body = "";
    exchange.Exchange.start(
      { method: "GET", path: "/", headers: {} },
      {
        dispatcher,
        clock: runtime.systemClock,
        url,
        deadline: runtime.systemClock.now() + 2000,
        idleTimeout: 2000,
        maxBytes: 1000,
        receiver: {
          head() {},
          data: (part) => void (body += part),
          end: () => resolve(`whole: ${body}`),
          fail: ({ reason }) => resolve(reason),
        },
      },
    );
  });
}

const WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
const CHUNKED = "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";

test("an answer without a length is complete when its connection ends", async (t) => {
  const url = await serverOf(t, WITHOUT_LENGTH, (socket) => socket.end());
  t.is(await fetch(t, url), "whole: half");
});

test("an answer without a length fails when its connection is reset", async (t) => {
  const url = await serverOf(
    t,
    WITHOUT_LENGTH,
    (socket) => socket.resetAndDestroy(),
  );
  t.is(await fetch(t, url), "broken-stream");
});

test("a chunked answer fails when its connection ends early", async (t) => {
  const url = await serverOf(t, CHUNKED, (socket) => socket.end());
  t.is(await fetch(t, url), "broken-stream");
});

// Node reports a reset that arrives with the last bytes as an end.
test("a reset that arrives with the last bytes is detected", async (t) => {
  for (let round = 0; round < 20; round++) {
    const reset = (socket: net.Socket) => void socket.resetAndDestroy();
    const url = await serverOf(t, WITHOUT_LENGTH, reset, { wait: 0 });
    t.not(await fetch(t, url), "whole: half");
  }
});

test("an end that arrives with the last bytes is an orderly end", async (t) => {
  for (let round = 0; round < 20; round++) {
    const end = (socket: net.Socket) => void socket.end();
    const url = await serverOf(t, WITHOUT_LENGTH, end, { wait: 0 });
    t.is(await fetch(t, url), "whole: half");
  }
});
