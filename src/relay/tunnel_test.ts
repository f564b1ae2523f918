/** Tunnels over loopback, between a host that listens for peers and an endpoint.
 * @module */

import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as connector from "../endpoint_calls/connector.ts";
import * as exchanges from "../endpoint_calls/exchange.ts";
import * as peers from "../peers/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as errors from "./errors.ts";
import * as fixture from "./fixture.ts";
import * as tunnelClient from "./tunnel_client.ts";

/** Starts an endpoint; resolves with its address and its connections. */
async function startEndpoint(
  t: ava.ExecutionContext,
  serve: (socket: net.Socket) => void,
) {
  const sockets: net.Socket[] = [];
  const server = net.createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    serve(socket);
  });
  await new Promise<void>((resolve) =>
    server.listen(0, fixture.LOOPBACK, resolve)
  );
  t.teardown(() => {
    sockets.forEach((socket) => socket.destroy());
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const stop = () => void server.close();
  return { address: `${fixture.LOOPBACK}:${port}`, sockets, stop };
}

async function open(
  dialAddress: peers.DialAddress,
  endpoint: string,
): Promise<net.Socket> {
  const tunnel = await fixture.openTunnel(dialAddress, endpoint);
  return tunnel.on("error", () => {});
}

/** Waits until a condition holds; fails after some seconds without. */
async function until(holds: () => boolean): Promise<void> {
  for (let count = 0; !holds(); count++) {
    if (count > 1000) throw new Error("condition does not hold");
    await timers.setTimeout(5);
  }
}

/** How a connection ends. */
function endOf(socket: net.Socket): Promise<"end" | "reset"> {
  return new Promise((resolve) => {
    socket.once("error", () => resolve("reset"));
    socket.once("end", () => resolve("end"));
    socket.resume();
  });
}

test("a tunnel forwards bytes in both directions", async (t) => {
  const { address } = await startEndpoint(
    t,
    (socket) => socket.on("data", (bytes) => socket.write(`echo ${bytes}`)),
  );
  const { dialAddress, server } = await fixture.startRelay(t);
  const tunnel = await open(dialAddress, address);
  tunnel.write("call");
  const bytes = await new Promise((resolve) => tunnel.once("data", resolve));
  t.is(`${bytes}`, "echo call");
  t.is(server.count, 1);
  tunnel.destroy();
  await until(() => server.count === 0);
  t.pass();
});

test("an orderly end of the endpoint's connection is passed on as an end", async (t) => {
  const { address } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.end("answer"));
  });
  const { dialAddress } = await fixture.startRelay(t);
  const tunnel = await open(dialAddress, address);
  const parts: Buffer[] = [];
  tunnel.on("data", (part) => parts.push(part));
  const end = endOf(tunnel);
  tunnel.write("call");
  t.is(await end, "end");
  t.is(`${Buffer.concat(parts)}`, "answer");
});

// Guards against an answer without a length that is taken for complete although
// the endpoint's connection was reset.
test("a reset of the endpoint's connection is passed on as a reset to a host that does not ask how a tunnel ended", async (t) => {
  const { address } = await startEndpoint(t, (socket) => {
    socket.once("data", () => {
      socket.write("half");
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  const { dialAddress } = await fixture.startRelay(t, "direct", {
    keepsEnds: false,
  });
  for (let round = 0; round < 5; round++) {
    const tunnel = await open(dialAddress, address);
    const end = endOf(tunnel);
    tunnel.write("call");
    t.is(await end, "reset");
  }
});

/** Sends a call on a tunnel, and calls `onBody` when a part of the answer's body
 * arrives; resolves with the body of the whole answer or why there is none. */
function callOn(
  t: ava.ExecutionContext,
  tunnel: net.Socket,
  onBody: () => void = () => {},
): Promise<string> {
  const dispatcher = new undici.Client("http://endpoint", {
    connect(_, callback) {
      connector.prepare(tunnel);
      setImmediate(() => callback(null, tunnel));
    },
  });
  t.teardown(() => dispatcher.destroy());
  const { systemClock: clock } = runtime;
  return new Promise((resolve) => {
    let body = "";
    exchanges.Exchange.start({ method: "GET", path: "/", headers: {} }, {
      dispatcher,
      clock,
      url: "http://endpoint",
      deadline: clock.now() + 10_000,
      idleTimeout: 10_000,
      maxBytes: 200_000,
      receiver: {
        head() {},
        data(part) {
          body += part;
          onBody();
        },
        end: () => resolve(`whole: ${body}`),
        fail: ({ reason }) => resolve(reason),
      },
    });
  });
}

const WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\nhalf";

// Guards against an answer without a length that is taken for complete although
// the endpoint's connection was reset.
test("an answer without a length through a relaying host is not complete when its endpoint resets the connection", async (t) => {
  const { dialAddress } = await fixture.startRelay(t);
  for (const wait of [0, 1, 20]) {
    const { address } = await startEndpoint(t, (socket) => {
      socket.once("data", () => {
        socket.write(WITHOUT_LENGTH);
        setTimeout(() => socket.resetAndDestroy(), wait);
      });
    });
    for (let round = 0; round < 5; round++) {
      const tunnel = await open(dialAddress, address);
      t.is(await callOn(t, tunnel), "broken-stream");
    }
  }
});

// Guards against whole answers that are lost: a reset that a relaying host
// forwarded discarded the bytes before it.
test("a whole answer gets through a relaying host when its endpoint resets the connection behind it", async (t) => {
  const body = "x".repeat(100_000);
  const text =
    `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
  const { address } = await startEndpoint(t, (socket) => {
    socket.once("data", () => {
      socket.write(text, () => socket.resetAndDestroy());
    });
  });
  const { dialAddress } = await fixture.startRelay(t);
  for (let round = 0; round < 10; round++) {
    const tunnel = await open(dialAddress, address);
    t.is(await callOn(t, tunnel), `whole: ${body}`);
  }
});

// Guards against a short answer that counts as whole: the connection of a process
// that is killed ends as if in order, also that of a host which relays.
test("an answer without a length is not complete when the relaying host stops", async (t) => {
  const { address } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.write(WITHOUT_LENGTH));
  });
  const { dialAddress, requests } = await fixture.startRelay(t);
  for (let round = 0; round < 5; round++) {
    const tunnel = await open(dialAddress, address);
    const stop = () => requests.at(-1)!.socket.destroy();
    t.is(await callOn(t, tunnel, stop), "broken-stream");
  }
});

test("an answer without a length is complete when the relaying host says so", async (t) => {
  const { address } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.end(WITHOUT_LENGTH));
  });
  const { dialAddress } = await fixture.startRelay(t);
  for (let round = 0; round < 5; round++) {
    const answer = callOn(t, await open(dialAddress, address));
    t.is(await answer, "whole: half");
  }
});

// Guards against a short answer that counts as whole: the connections of an endpoint
// that is killed end in order at the host that relays it, too.
test("an answer without a length is not complete when the endpoint behind a relaying host has stopped", async (t) => {
  const { address, stop } = await startEndpoint(t, (socket) => {
    socket.once("data", () => {
      stop();
      socket.end(WITHOUT_LENGTH);
    });
  });
  const { dialAddress } = await fixture.startRelay(t);
  const answer = callOn(t, await open(dialAddress, address));
  t.is(await answer, "broken-stream");
});

test("an answer without a length through a host of the previous release ends with the tunnel", async (t) => {
  const { address } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.end(WITHOUT_LENGTH));
  });
  const { dialAddress } = await fixture.startRelay(t, "direct", {
    keepsEnds: false,
  });
  const answer = callOn(t, await open(dialAddress, address));
  t.is(await answer, "whole: half");
});

test("a stopping host still tells how its last tunnel ended", async (t) => {
  const { address, sockets } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.write(WITHOUT_LENGTH));
  });
  const { dialAddress, server, relay } = await fixture.startRelay(t);
  const tunnel = await open(dialAddress, address);
  const stopped = server.finish(5000).then(() => relay.stop());
  const answer = callOn(t, tunnel, () => sockets[0].end());
  t.is(await answer, "whole: half");
  await stopped;
});

// Guards against whole answers that are lost: the answer to the question takes
// longer than the host waits for questions.
test("a stopping host finds out whether the endpoint of its last tunnel has stopped", async (t) => {
  const { address, sockets } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.write(WITHOUT_LENGTH));
  });
  const { dialAddress, server, relay } = await fixture.startRelay(t, "direct", {
    hasStopped: () => timers.setTimeout(450, false),
  });
  const tunnel = await open(dialAddress, address);
  const stopped = server.finish(5000).then(() => relay.stop());
  const answer = callOn(t, tunnel, () => sockets[0].end());
  t.is(await answer, "whole: half");
  await stopped;
});

test("a stopping host does not wait for an endpoint longer than it may", async (t) => {
  const { address, sockets } = await startEndpoint(t, (socket) => {
    socket.once("data", () => socket.write(WITHOUT_LENGTH));
  });
  const { dialAddress, server, relay } = await fixture.startRelay(t, "direct", {
    hasStopped: () => timers.setTimeout(2000, false),
  });
  const tunnel = await open(dialAddress, address);
  const startedAt = performance.now();
  const answer = callOn(t, tunnel, () => sockets[0].end());
  await server.finish(400);
  t.true(performance.now() - startedAt < 1500);
  await relay.stop();
  t.is(await answer, "broken-stream");
});

// Guards against endpoints that go on with calls whose callers have left.
test("the endpoint's connection closes when the host gives up its call", async (t) => {
  const { address, sockets } = await startEndpoint(
    t,
    (socket) => socket.resume(),
  );
  const { dialAddress } = await fixture.startRelay(t);
  const tunnel = await open(dialAddress, address);
  tunnel.write("call");
  await timers.setTimeout(20);
  t.is(sockets.length, 1);
  tunnel.destroy();
  await until(() => sockets[0].readableEnded);
  t.pass();
});

test("a tunnel that is given up before it opens leaves no connection", async (t) => {
  const { address, sockets } = await startEndpoint(
    t,
    (socket) => socket.resume(),
  );
  const { dialAddress, server } = await fixture.startRelay(t);
  const cancel = tunnelClient.open(
    dialAddress,
    address,
    () => t.fail("reported after it was given up"),
  );
  cancel();
  await timers.setTimeout(100);
  t.is(server.count, 0);
  t.true(sockets.every(({ readableEnded }) => readableEnded));
});

// Guards against a relay whose memory fills up with what a slow caller does not
// read.
test("a side that does not read pauses the other", async (t) => {
  let writtenBytes = 0;
  const { address } = await startEndpoint(t, (socket) => {
    const part = Buffer.alloc(64 * 1024);
    const fill = () => {
      while (socket.write(part)) writtenBytes += part.length;
      writtenBytes += part.length;
    };
    socket.on("drain", fill);
    socket.once("data", fill);
  });
  const { dialAddress } = await fixture.startRelay(t);
  const tunnel = await open(dialAddress, address);
  tunnel.pause();
  tunnel.write("call");
  let before = -1;
  while (writtenBytes !== before) {
    before = writtenBytes;
    await timers.setTimeout(300);
  }
  // Buffers of the kernel on three connections, and those of the processes.
  t.true(before < 64 * 1024 * 1024, `${before}`);
  tunnel.resume();
  await timers.setTimeout(100);
  t.true(writtenBytes > before);
});

test("a host refuses tunnels to what it does not reach directly", async (t) => {
  const { dialAddress, tally } = await fixture.startRelay(t, "relayed");
  await t.throwsAsync(open(dialAddress, `${fixture.LOOPBACK}:1`), {
    message: /502 No Direct Path/,
  });
  t.is(tally.total("relay.served"), 1);
});

// Guards against many hosts that ask each other about an endpoint that is down.
test("a host that no path leads from tells that the endpoint is unreachable", async (t) => {
  const { address, sockets } = await startEndpoint(
    t,
    (socket) => socket.resume(),
  );
  const { dialAddress } = await fixture.startRelay(t, "none");
  await t.throwsAsync(open(dialAddress, address), {
    instanceOf: errors.EndpointUnreachableError,
  });
  t.is(sockets.length, 0);
});

test("a host refuses a tunnel to an endpoint that refuses the connection", async (t) => {
  const { dialAddress } = await fixture.startRelay(t);
  await t.throwsAsync(open(dialAddress, `${fixture.LOOPBACK}:1`), {
    message: /504 Endpoint Unreachable/,
  });
});

test("a draining host refuses new tunnels and lets open ones end", async (t) => {
  const { address } = await startEndpoint(
    t,
    (socket) => socket.on("data", (bytes) => socket.write(bytes)),
  );
  const { dialAddress, server } = await fixture.startRelay(t);
  const tunnel = await open(dialAddress, address);
  const finished = server.finish(5000);
  await t.throwsAsync(open(dialAddress, address), { message: /503 Stopping/ });
  tunnel.write("call");
  const bytes = await new Promise((resolve) => tunnel.once("data", resolve));
  t.is(`${bytes}`, "call");
  tunnel.destroy();
  await finished;
  t.is(server.count, 0);
});

test("tunnels that do not end in time are reset", async (t) => {
  const { address } = await startEndpoint(t, (socket) => socket.resume());
  const { dialAddress, server } = await fixture.startRelay(t);
  const end = endOf(await open(dialAddress, address));
  await server.finish(20);
  t.is(await end, "reset");
});

test("a host without the fleet's key gets no tunnel", async (t) => {
  const { address, sockets } = await startEndpoint(
    t,
    (socket) => socket.resume(),
  );
  const { dialAddress } = await fixture.startRelay(t);
  const headers = { ...dialAddress.headers, "chicoryloft-proof": "forged" };
  await t.throwsAsync(open({ ...dialAddress, headers }, address), {
    message: /403/,
  });
  t.is(sockets.length, 0);
});

// Guards against losses while hosts of two releases run beside each other.
test("a host that does not know tunnels is told apart before anything is sent", async (t) => {
  const server = http.createServer((_request, response) => {
    response.writeHead(426).end();
  });
  await new Promise<void>((resolve) =>
    server.listen(0, fixture.LOOPBACK, resolve)
  );
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  const dialAddress = { address: fixture.LOOPBACK, port, headers: {} };
  await t.throwsAsync(open(dialAddress, `${fixture.LOOPBACK}:1`), {
    name: "RelayError",
  });
});

test("a host without endpoints to connect to refuses tunnels", async (t) => {
  const relay = await fixture.startPeers(t, "relay", []);
  const asker = await fixture.startPeers(t, "asker", [relay.port]);
  const dialAddress = asker.dialAddress("relay")!;
  await t.throwsAsync(open(dialAddress, `${fixture.LOOPBACK}:1`), {
    message: /403/,
  });
});
