/** @module */

import * as http from "node:http";
import type * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as fixture from "../configuration/fixture.ts";
import * as configurations from "../configuration/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as gateway from "./mod.ts";
import * as passages from "./passage.ts";

/** Headers as they are, with names of this test's own. */
const PROTOCOL: gateway.GatewayProtocol = {
  readAsk: ({ method = "", url = "" }) => ({
    type: "ask",
    ask: { id: "a-1", method, host: "host.example", target: url, headers: {} },
  }),
  isReadinessCall: () => true,
  callHeaders: (_, { endpoint }) => ({ "test-endpoint": endpoint }),
  readReply: (status, headers) => ({
    status,
    attempt: "a-1",
    signature: headers["test-signature"] as string | undefined,
    isNotRun: headers["test-not-run"] !== undefined,
    isMisdirected: false,
    lacksInput: false,
    headers: {},
  }),
  pieceCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  readPieces: () => undefined,
  releaseCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  makerOf: (handle) => handle,
};

/** Listens on loopback; resolves with the place. */
async function listen(
  t: ava.ExecutionContext,
  handle: http.RequestListener,
): Promise<string> {
  const server = http.createServer(handle);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
}

/** A host before one endpoint that does `endpoint` with each request. */
async function hostOf(
  t: ava.ExecutionContext,
  kind: configurations.RouteKind,
  endpoint: http.RequestListener,
) {
  const seen: (() => void)[] = [];
  const sent = new Promise<void>((resolve) => seen.push(resolve));
  const address = await listen(t, (request, response) => {
    seen.forEach((resolve) => resolve());
    endpoint(request, response);
  });
  const dispatcher = new undici.Agent({ pipelining: 1 });
  t.teardown(() => dispatcher.destroy());
  const catalogue = configurations.Catalogue.create(
    fixture.configuration({ routes: [fixture.route({ kind })] }),
  );
  const pool = gateway.Pool.create();
  const sighting = { id: "e-1", service: "desk", address, dataCentre: "town" };
  const rest = { version: "", slots: 4, state: "ready" as const, sequence: 1 };
  const heard = {
    heard: 0,
    since: 0,
    coldUntil: 0,
    revision: 1,
    isSilent: false,
  };
  pool.update([{ ...sighting, ...rest, ...heard }], () => undefined);
  const bounds = { ratio: 1, burst: 10, window: 1000 };
  const started: passages.Passage[] = [];
  const context: gateway.Context = {
    clock: runtime.systemClock,
    random: runtime.createRandom(7),
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    protocol: PROTOCOL,
    dispatcher,
    dataCentre: "town",
    pool,
    maker: {
      make: () => Promise.resolve([]),
      book: () => Promise.resolve({ wait: 0, work: 0 }),
      cell: () => "all",
      release() {},
      drop() {},
    },
    knowledge: { catalogue: () => catalogue, age: () => 0, hosts: () => 1 },
    calibration: gateway.Calibration.create(),
    patience: gateway.Patience.create(),
    inputHold: gateway.InputHold.create(),
    useTeller: { note() {} },
    started: 0,
    greatestAge: 1000,
    budget: () => gateway.RetryBudget.create(bounds),
    isDraining: () => false,
    isEnding: () => false,
  };
  const place = await listen(t, (request, response) => {
    started.push(passages.Passage.start(context, { request, response }));
  });
  const ask = async () => {
    const answer = await undici.request(`http://${place}/a/x`);
    return { status: answer.statusCode, text: await answer.body.text() };
  };
  return { ask, sent, started };
}

test("a call under way when a host ends is not said not to have run", async (t) => {
  const { ask, sent, started } = await hostOf(t, "unsafe", () => {});
  const answer = ask();
  await sent;
  started[0].abort();
  t.is((await answer).status, 502);
});

test("a whole answer is passed on", async (t) => {
  const { ask } = await hostOf(t, "unsafe", (_, response) => {
    response.writeHead(200, { "test-signature": "s" }).end("done");
  });
  t.deepEqual(await ask(), { status: 200, text: "done" });
});

test("an answer that no endpoint has signed is not passed on", async (t) => {
  const { ask } = await hostOf(t, "unsafe", (_, response) => {
    response.writeHead(200).end("done");
  });
  t.is((await ask()).status, 502);
});

test("what an endpoint has not run is refused with that promise", async (t) => {
  const { ask } = await hostOf(t, "unsafe", (_, response) => {
    response.writeHead(503, { "test-not-run": "1" }).end();
  });
  t.is((await ask()).status, 503);
});

test("work that may run once is sent once", async (t) => {
  let count = 0;
  const { ask } = await hostOf(t, "unsafe", (request) => {
    count++;
    request.socket.destroy();
  });
  t.is((await ask()).status, 502);
  t.is(count, 1);
});
