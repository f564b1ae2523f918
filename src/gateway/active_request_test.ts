/** @module */

import * as http from "node:http";
import type * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as undici from "undici";
import * as fixture from "../configuration/fixture.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
import * as configurations from "../configuration/mod.ts";
import * as quarantineFixture from "../quarantine/fixture.ts";
import * as rateLimitFixture from "../rate_limits/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as gateway from "./mod.ts";
import * as passages from "./active_request.ts";

/** Headers as they are, with names of this test's own. */
const PROTOCOL: gateway.GatewayProtocol = {
  decodeRequest: ({ method = "", url = "" }) => ({
    type: "ask",
    request: {
      id: "a-1",
      method,
      host: "host.example",
      target: url,
      headers: {},
      itemCounts: [1],
    },
  }),
  isReadinessProbe: () => true,
  callHeaders: (_, { endpoint }) => ({ "test-endpoint": endpoint }),
  decodeReply: (status, headers) => ({
    status,
    attempt: "a-1",
    signature: headers["test-signature"] as string | undefined,
    isNotRun: headers["test-not-run"] !== undefined,
    isMisdirected: false,
    lacksInput: false,
    headers: {},
  }),
  batchCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  decodeItemResults: () => undefined,
  releaseCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  holderOf: (handle) => handle,
};

/** A stream that may be resumed, after pieces of a stage. */
const STREAM: Partial<configurations.Route> = {
  kind: "streaming",
  resumable: true,
  objective: 1000,
  timeout: 3000,
  stages: [{ service: "maps", after: [], bytes: 100 }],
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
  route: Partial<configurations.Route>,
  endpoint: http.RequestListener,
  make: gateway.Context["maker"]["compute"] = () => Promise.resolve([]),
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
    fixture.configuration({
      routes: [fixture.route(route)],
      services: [
        { name: "desk", connections: 10 },
        { name: "maps", connections: 10, batching: fixture.batchTraits() },
      ],
    }),
  );
  const pool = gateway.EndpointPool.create();
  const entry = endpointFixture.entry({ id: "e-1", address });
  pool.update([entry], () => undefined);
  const bounds = { ratio: 1, burst: 10, window: 1000 };
  const started: passages.ActiveRequest[] = [];
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
      compute: make,
      reserve: () => Promise.resolve({ wait: 0, work: 0 }),
      selectPartition: () => "all",
      release() {},
      cancel() {},
    },
    placement: { place: () => Promise.resolve(undefined) },
    fleetView: {
      catalogue: () => catalogue,
      configurationAge: () => 0,
      hostCount: () => 1,
    },
    calibration: gateway.Calibration.create(),
    priorWait: gateway.PriorWait.create(),
    inputRetention: gateway.InputRetention.create(),
    loadUpdates: { record() {} },
    quotas: rateLimitFixture.unlimitedQuotas(),
    guard: quarantineFixture.permissiveGuard(),
    startedAt: 0,
    maxConfigurationAge: 1000,
    retryBudget: () => gateway.RetryBudget.create(bounds),
    isDraining: () => false,
    isStopping: () => false,
  };
  const place = await listen(t, (request, response) => {
    started.push(passages.ActiveRequest.start(context, { request, response }));
  });
  const ask = async () => {
    const answer = await undici.request(`http://${place}/a/x`);
    return { status: answer.statusCode, text: await answer.body.text() };
  };
  return { ask, sent, started, pool, context };
}

test("a call under way when a host ends is not said not to have run", async (t) => {
  const { ask, sent, started } = await hostOf(t, { kind: "unsafe" }, () => {});
  const answer = ask();
  await sent;
  started[0].abort();
  t.is((await answer).status, 502);
});

test("a whole answer is passed on", async (t) => {
  const { ask } = await hostOf(t, { kind: "unsafe" }, (_, response) => {
    response.writeHead(200, { "test-signature": "s" }).end("done");
  });
  t.deepEqual(await ask(), { status: 200, text: "done" });
});

// Guards against a kind of request that is served late without a counter that
// shows it.
test("requests are counted by route and by how they ended", async (t) => {
  const ended: unknown[] = [];
  const metrics: telemetry.Metrics = {
    ...telemetry.noMetrics,
    count: (name, _, labels) => name === "gateway.ended" && ended.push(labels),
  };
  for (const objective of [1000, -1]) {
    const change = { kind: "unsafe", objective } as const;
    const { ask, context } = await hostOf(t, change, (_, response) => {
      response.writeHead(200, { "test-signature": "s" }).end("done");
    });
    Object.assign(context, { metrics });
    await ask();
  }
  t.deepEqual(ended, [
    { route: "route", ending: "in-time" },
    { route: "route", ending: "late" },
  ]);
});

test("an answer that no endpoint has signed is not passed on", async (t) => {
  const { ask } = await hostOf(t, { kind: "unsafe" }, (_, response) => {
    response.writeHead(200).end("done");
  });
  t.is((await ask()).status, 502);
});

test("what an endpoint has not run is refused with that promise", async (t) => {
  const { ask } = await hostOf(t, { kind: "unsafe" }, (_, response) => {
    response.writeHead(503, { "test-not-run": "1" }).end();
  });
  t.is((await ask()).status, 503);
});

test("work that may run once is sent once", async (t) => {
  let count = 0;
  const { ask } = await hostOf(t, { kind: "unsafe" }, (request) => {
    count++;
    request.socket.destroy();
  });
  t.is((await ask()).status, 502);
  t.is(count, 1);
});

/** Milliseconds in which a connection that is broken off has closed. */
const CLOSED = 1500;

/** How an answer ends: whole, broken off, or not at all. */
async function endOf(answer: Promise<unknown>): Promise<string> {
  const late = new Promise<string>((resolve) =>
    setTimeout(() => resolve("open"), CLOSED)
  );
  return await Promise.race([
    answer.then(() => "whole", () => "broken off"),
    late,
  ]);
}

// What was seen, by reading: where a stream had begun and its pieces could not
// be made again, a second head was to be written, which throws, and the caller
// was left with an open connection.
test("a stream whose pieces can't be made again is broken off", async (t) => {
  let rounds = 0;
  const { ask } = await hostOf(t, STREAM, (_, response) => {
    response.writeHead(200, { "test-signature": "s" });
    response.write("id: 1\ndata: 1\n\n");
    setTimeout(() => response.destroy(), 50);
  }, ({ pieces: [piece] }) => {
    const result = { piece, handle: "place/1" };
    const none = { piece, failure: "error" as const };
    return Promise.resolve(rounds++ === 0 ? [result] : [none]);
  });
  t.is(await endOf(ask()), "broken off");
  t.true(rounds > 1);
});

test("a host that ends while pieces are made again breaks the stream off", async (t) => {
  let rounds = 0;
  const { ask, started } = await hostOf(t, STREAM, (_, response) => {
    response.writeHead(200, { "test-signature": "s" });
    response.write("id: 1\ndata: 1\n\n");
    setTimeout(() => response.destroy(), 50);
  }, ({ pieces: [piece] }) => {
    if (rounds++ === 0) return Promise.resolve([{ piece, handle: "place/1" }]);
    setTimeout(() => started[0].abort(), 10);
    return new Promise(() => {});
  });
  t.is(await endOf(ask()), "broken off");
});

// What was seen: under load this ended 503. The call broke off after its inputs
// had been given up, so they were made again, and when that failed the request
// was refused as one that has not run.
test("what has run is never said not to have run", async (t) => {
  let rounds = 0;
  const { ask } = await hostOf(t, STREAM, (request) => {
    // Later than inputs are kept for a call.
    setTimeout(() => request.socket.destroy(), 400);
  }, ({ pieces: [piece] }) => {
    const result = { piece, handle: "place/1" };
    const none = { piece, failure: "error" as const };
    return Promise.resolve(rounds++ === 0 ? [result] : [none]);
  });
  t.is((await ask()).status, 502);
});

test("what was chosen before an evacuation is not sent after it", async (t) => {
  let count = 0;
  const host = await hostOf(t, { kind: "safe" }, (_, response) => {
    count++;
    response.writeHead(200, { "test-signature": "s" }).end("done");
  });
  const { ask, pool, context } = host;
  Object.assign(context.quotas, {
    isLimited: () => true,
    acquire() {
      pool.setEvacuated(["town"], { returned: [], now: 0 });
      return Promise.resolve(0);
    },
  });
  t.is((await ask()).status, 503);
  t.is(count, 0);
});
