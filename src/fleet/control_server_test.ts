/** Tests of the bounds on what clients of a control host send.
 * @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as controlServer from "./control_server.ts";

const BOUNDS: controlServer.ControlBounds = {
  maxConnections: 4,
  maxPipelined: 2,
  requestBytes: 1_000_000,
  configurationValues: 100,
};

/** Starts a server that answers each command with its type; resolves with the
 * commands that were handled and its address. */
async function start(t: ava.ExecutionContext) {
  const handled: string[] = [];
  const handle = () => {
    handled.push("replace");
    return Promise.resolve({ status: 200, body: "{}" });
  };
  // A free port, as the server does not say which it has.
  const probe = net.createServer().listen(0, "127.0.0.1");
  await new Promise((resolve) => probe.once("listening", resolve));
  const { port } = probe.address() as net.AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  const server = await controlServer.ControlServer.start({
    listenAddress: { address: "127.0.0.1", port },
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    clock: runtime.systemClock,
    bounds: BOUNDS,
    protocol: {
      isConfiguration: ({ target }) => target === "/replace",
      decode: () => ({ type: "leave", id: "e" }),
    },
    handlers: {
      replace: handle,
      read: handle,
      evacuate: handle,
      heartbeat: handle,
      leave: handle,
    },
  });
  t.teardown(() => server.stop());
  const send = async (target: string, body: string) => {
    const answer = await undici.request(`http://127.0.0.1:${port}${target}`, {
      method: "POST",
      body,
    });
    await answer.body.dump();
    return answer.statusCode;
  };
  return { handled, port, send };
}

// Guards against control hosts that parse what takes their whole memory.
test("a body of too many values is refused unparsed", async (t) => {
  const { handled, send } = await start(t);
  t.is(await send("/replace", `[${"{},".repeat(200)}{}]`), 413);
  t.deepEqual(handled, []);
  t.is(await send("/replace", `[${"{},".repeat(20)}{}]`), 200);
});

test("only a configuration may be large", async (t) => {
  const { handled, send } = await start(t);
  const body = JSON.stringify("x".repeat(100_000));
  t.is(await send("/heartbeat", body), 413);
  t.deepEqual(handled, []);
  t.is(await send("/replace", body), 200);
});

// Guards against bodies that stop short and keep out those of others.
test("a body that arrives makes room for itself among those that have stopped", async (t) => {
  const { port, send } = await start(t);
  const stalled = net.connect(port, "127.0.0.1");
  t.teardown(() => void stalled.destroy());
  const refusal = new Promise<string>((resolve) =>
    stalled.once("data", (part) => resolve(`${part}`))
  );
  const head =
    "POST /replace HTTP/1.1\r\nhost: c\r\ncontent-length: 900000\r\n\r\n";
  await new Promise<void>((resolve) =>
    stalled.write(head + "x".repeat(800_000), () => resolve())
  );
  let isRefused = false;
  void refusal.then(() => isRefused = true);
  const body = JSON.stringify("x".repeat(400_000));
  // What has been sent may not be read yet.
  while (!isRefused) t.is(await send("/replace", body), 200);
  t.regex(await refusal, /^HTTP\/1\.1 503 .*connection: close/s);
});
