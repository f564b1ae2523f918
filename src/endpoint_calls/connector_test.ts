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
  end: (socket: net.Socket, server: net.Server) => void,
  { wait = 30 }: { wait?: number } = {},
): Promise<string> {
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(text, "latin1");
      if (wait === 0) end(socket, server);
      else setTimeout(() => end(socket, server), wait);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  return `http://127.0.0.1:${port}`;
}

/** Runs an exchange with the server; resolves with its body or failure. */
function fetch(
  t: ava.ExecutionContext,
  url: string,
  { maxBytes = 1000, onData = () => {} }: {
    maxBytes?: number;
    onData?(part: Buffer): void;
  } = {},
): Promise<string> {
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
        maxBytes,
        receiver: {
          head() {},
          data(part) {
            onData(part);
            body += part;
          },
          end: () => resolve(`whole: ${body}`),
          fail: ({ reason }) => resolve(reason),
        },
      },
    );
  });
}

const WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n";
const CHUNKED = `${CHUNKED_HEAD}4\r\nhalf\r\n`;

test("an answer without a length is complete when its connection ends", async (t) => {
  const url = await serverOf(t, WITHOUT_LENGTH, (socket) => socket.end());
  t.is(await fetch(t, url), "whole: half");
});

// Guards against whole answers that count as broken: the line break that is written
// behind them is answered by a reset, after which the system has forgotten the
// endpoint's address.
test("an answer without a length is complete when its connection closes on both sides", async (t) => {
  const ways: readonly ((socket: net.Socket) => void)[] = [
    (socket) => void socket.destroy(),
    (socket) => void socket.destroySoon(),
  ];
  for (const close of ways) {
    for (let round = 0; round < 100; round++) {
      const wait = [0, 1, 20][round % 3];
      const url = await serverOf(t, WITHOUT_LENGTH, close, { wait });
      t.is(await fetch(t, url), "whole: half");
    }
  }
});

test("an answer without a length fails when its connection is reset", async (t) => {
  const url = await serverOf(
    t,
    WITHOUT_LENGTH,
    (socket) => socket.resetAndDestroy(),
  );
  t.is(await fetch(t, url), "broken-stream");
});

// Guards against a short answer that counts as whole: a process that is killed
// closes its listener, and its connections in order.
test("an answer without a length fails when its endpoint has stopped", async (t) => {
  const url = await serverOf(t, WITHOUT_LENGTH, (socket, server) => {
    server.close();
    socket.end();
  });
  t.is(await fetch(t, url), "broken-stream");
});

// Guards against the same where the process exits by itself, and closes its
// connections before its listener.
test("an answer without a length fails when its endpoint is exiting", async (t) => {
  const url = await serverOf(t, WITHOUT_LENGTH, (socket, server) => {
    server.on("connection", (next) => {
      server.close();
      next.resetAndDestroy();
    });
    socket.end();
  });
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

// Guards against a short answer that counts as whole: only a last coding of
// `chunked` marks the end of an answer, any other one ends with its connection.
test("a reset that arrives with the last bytes is detected whatever the transfer coding", async (t) => {
  const reset = (socket: net.Socket) => void socket.resetAndDestroy();
  const codings = ["identity", "gzip", "chunked, gzip", "", "x, chunked\u00a0"];
  for (const coding of codings) {
    const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`;
    for (let round = 0; round < 5; round++) {
      const url = await serverOf(t, `${head}half`, reset, { wait: 0 });
      t.not(await fetch(t, url), "whole: half", coding);
    }
  }
});

test("an answer whose last transfer coding is chunked ends with its last chunk", async (t) => {
  for (const coding of ["Chunked", "identity, chunked"]) {
    const head = `HTTP/1.1 200 OK\r\nTransfer-Encoding: ${coding}\r\n\r\n`;
    const url = await serverOf(t, `${head}4\r\nhalf\r\n0\r\n\r\n`, () => {});
    t.is(await fetch(t, url), "whole: half", coding);
  }
});

test("an end that arrives with the last bytes is an orderly end", async (t) => {
  for (let round = 0; round < 20; round++) {
    const end = (socket: net.Socket) => void socket.end();
    const url = await serverOf(t, WITHOUT_LENGTH, end, { wait: 0 });
    t.is(await fetch(t, url), "whole: half");
  }
});

/** Texts whose repetition never reaches a call. */
const FRAMINGS = [
  { name: "an extension of a chunk", start: `${CHUNKED_HEAD}1;`, part: "x" },
  { name: "empty lines", start: "", part: "\r\n" },
  { name: "a status line", start: "HTTP/1.1 200 ", part: "x" },
  { name: "empty lines after a head", start: CHUNKED_HEAD, part: "\r\n" },
];

// Guards against a host that is kept busy for as long as a call may last by bytes
// that reach no call, so that no bound counts them.
for (const { name, start, part } of FRAMINGS) {
  test(`a call ends soon when its answer is ${name} without an end`, async (t) => {
    let written = 0;
    const fill = part.repeat(64 * 1024);
    const url = await serverOf(t, start, (socket) => {
      const write = () => {
        while (!socket.destroyed && socket.write(fill)) {
          written += fill.length;
        }
      };
      socket.on("drain", write);
      write();
    });
    t.is(await fetch(t, url), "error");
    t.true(written < 32 * 1024 * 1024, `${written} bytes`);
  });
}

// Guards against a bound that ends sound answers: only bytes in a row that reach no
// call count.
test("a large answer in small chunks is complete", async (t) => {
  const count = 400_000;
  const text = CHUNKED_HEAD + "1\r\nx\r\n".repeat(count) + "0\r\n\r\n";
  const url = await serverOf(t, text, () => {});
  const body = await fetch(t, url, { maxBytes: Infinity });
  t.is(body.length, "whole: ".length + count);
});

/** Bytes that are not parsed at once, as they make some thousand calls in small
 * chunks, or as many errors in a head that is too large. */
const LARGE_BYTES = 16 * 1024;

// Guards against turns of the event loop in which one endpoint's bytes are parsed
// for hundreds of milliseconds, so that the host accepts no connection.
test("what an endpoint sends at once is parsed in slices", async (t) => {
  const count = 256 * 1024;
  const text = `HTTP/1.1 200 OK\r\nContent-Length: ${count}\r\n\r\n` +
    "x".repeat(count);
  const url = await serverOf(t, text, () => {});
  const sizes: number[] = [];
  const body = await fetch(t, url, {
    maxBytes: Infinity,
    onData: ({ length }) => void sizes.push(length),
  });
  t.is(body.length, "whole: ".length + count);
  t.true(Math.max(...sizes) <= LARGE_BYTES, `${Math.max(...sizes)} bytes`);
});
