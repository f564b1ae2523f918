/** A gateway host on loopback for tests, with one endpoint.
 * @module */

import * as http from "node:http";
import type * as net from "node:net";
import type * as ava from "ava";
import * as undici from "undici";
import * as concurrencyFixture from "../concurrency/fixture.ts";
import * as fixture from "../configuration/fixture.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
import * as configurations from "../configuration/mod.ts";
import * as connector from "../endpoint_calls/connector.ts";
import * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import * as originFixture from "../origins/fixture.ts";
import * as quarantineFixture from "../quarantine/fixture.ts";
import * as rateLimitFixture from "../rate_limits/fixture.ts";
import * as delays from "../runtime/delay.ts";
import * as runtime from "../runtime/mod.ts";
import * as turnClocks from "../runtime/turn_clock.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as gateway from "./mod.ts";
import * as activeRequests from "./active_request.ts";
import * as callerConnections from "./caller_connection.ts";
import * as requestBodies from "../fleet/request_bodies.ts";
import * as unreadReplies from "./unread_replies.ts";

/** The clock of all hosts of a test file, and of what waits beside them: they
 * share an event loop with their endpoints and callers, so that a busy machine
 * would make an endpoint silent that has only not had its turn. */
export const clock = turnClocks.TurnClock.start();

/** Timeout of connecting to an endpoint. */
const CONNECT_TIMEOUT_MS = 10_000;

/** Resolves after some milliseconds of `clock`. */
export function pause(milliseconds: number): Promise<void> {
  return delays.sleep(clock, milliseconds);
}

/** Headers of an answer that are relayed to the caller. */
function signatureOf(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  const signature = headers["test-signature"];
  return signature === undefined ? {} : { "test-signature": `${signature}` };
}

/** The account of all requests. */
const ACCOUNT: configurations.Account = { name: "club", keys: ["key"] };

/** Decodes answers from header names of tests. */
export const PROTOCOL: gateway.GatewayProtocol = {
  decodeRequest: ({ method = "", url = "", headers }) => ({
    type: "ask",
    request: {
      id: "a-1",
      method,
      host: "host.example",
      target: url,
      headers: {},
      itemCounts: [1],
      apiKey: ACCOUNT.keys[0],
      timeout: timeoutOf(headers["test-timeout"] as string | undefined),
      resumeAfter: headers["test-resume-after"] as string | undefined,
    },
  }),
  isReadinessProbe: () => true,
  callHeaders: (_, { endpoint, resumeAfter }) => ({
    "test-endpoint": endpoint,
    ...(resumeAfter !== undefined && { "test-resume-after": resumeAfter }),
  }),
  decodeReply: (status, headers) => ({
    status,
    attempt: "a-1",
    signature: headers["test-signature"] as string | undefined,
    isNotRun: headers["test-not-run"] !== undefined,
    leaving: headers["test-leaving"] === undefined ? undefined : "announced",
    isMisdirected: status === 421,
    lacksInput: false,
    headers: signatureOf(headers),
  }),
  batchCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  decodeItemResults: () => undefined,
  releaseCall: () => ({ method: "POST", path: "/", headers: {}, body: "" }),
  holderOf: (handle) => handle,
};

function timeoutOf(text: string | undefined): number | undefined {
  return text === undefined ? undefined : Number(text);
}

/** Route of a resumable stream with one stage. */
export const STREAM: Partial<configurations.Route> = {
  kind: "streaming",
  resumable: true,
  objective: 1000,
  timeout: 3000,
  stages: [{ service: "maps", after: [], bytes: 100 }],
};

/** Listens on loopback; resolves with the address. */
export async function listen(
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

function createUnreadReplies(memory?: number) {
  return unreadReplies.UnreadReplies.create({
    metrics: telemetry.noMetrics,
    memory,
    afterTurn: setImmediate,
  });
}

function createRequestBodies(maxBytes: number) {
  return requestBodies.RequestBodies.create({
    metrics: telemetry.noMetrics,
    maxBytes,
    otherBytes: () => 0,
    afterTurn: setImmediate,
  });
}

function createPartialAnswers(memory?: number) {
  return partialAnswers.PartialAnswers.create({
    metrics: telemetry.noMetrics,
    memory,
    afterTurn: setImmediate,
  });
}

/** A gateway host with one endpoint that handles each call with `endpoint`. */
export async function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  endpoint: http.RequestListener,
  compute: gateway.Context["batcherClient"]["compute"] = () =>
    Promise.resolve([]),
) {
  const resolvers: (() => void)[] = [];
  const sent = new Promise<void>((resolve) => resolvers.push(resolve));
  const address = await listen(t, (request, response) => {
    resolvers.forEach((resolve) => resolve());
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
      accounts: [ACCOUNT],
    }),
  );
  const pool = gateway.EndpointPool.create();
  const entry = endpointFixture.entry({ id: "e-1", address });
  pool.update([entry], () => undefined);
  const bounds = { ratio: 1, burst: 10, window: 1000 };
  const started: activeRequests.ActiveRequest[] = [];
  let partial = createPartialAnswers();
  const context: gateway.Context = {
    clock,
    random: runtime.createRandom(7),
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    protocol: PROTOCOL,
    dispatcher,
    get partialAnswers() {
      return partial;
    },
    dataCentre: "town",
    pool,
    paths: { relayOf: () => undefined, hasReceivedFromOthers: () => true },
    batcherClient: {
      compute: compute,
      reserve: () => Promise.resolve({ wait: 0, work: 0 }),
      selectPartition: () => "all",
      dataCentresBeside: () => [],
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
    callDurations: gateway.CallDurations.create(),
    priorWait: gateway.PriorWait.create(),
    inputRetention: gateway.InputRetention.create(),
    loadUpdates: { record() {} },
    quotas: rateLimitFixture.unlimitedQuotas(),
    slots: concurrencyFixture.unlimitedSlots(),
    origins: originFixture.noOrigins(),
    guard: quarantineFixture.permissiveGuard(),
    startedAt: 0,
    maxConfigurationAge: 1000,
    retryBudget: () => gateway.RetryBudget.create(bounds),
    isDraining: () => false,
    isStopping: () => false,
    stopsAt: () => Infinity,
  };
  let unread = createUnreadReplies();
  let bodies = createRequestBodies(Infinity);
  const limitMemory = (memory: number) => {
    unread = createUnreadReplies(memory);
  };
  const limitBodies = (maxBytes: number) => {
    bodies = createRequestBodies(maxBytes);
  };
  const limitPartialAnswers = (memory?: number) => {
    return partial = createPartialAnswers(memory);
  };
  const gatewayAddress = await listen(t, (request, response) => {
    const connection = callerConnections.CallerConnection.create(
      request.socket,
    );
    connection.begin({ request, response });
    started.push(
      activeRequests.ActiveRequest.start(context, {
        request,
        response,
        unreadReplies: unread,
        requestBodies: bodies,
        connection,
      }),
    );
  });
  const request = (options: Parameters<typeof undici.request>[1] = {}) =>
    undici.request(`http://${gatewayAddress}/a/x`, options);
  const ask = async (options: Parameters<typeof undici.request>[1] = {}) => {
    const answer = await request(options);
    return { status: answer.statusCode, text: await answer.body.text() };
  };
  const askForHead = async () => {
    const answer = await request();
    await answer.body.dump();
    const { statusCode: status, headers } = answer;
    return { status, signature: headers["test-signature"] };
  };
  return {
    ask,
    askForHead,
    request,
    sent,
    started,
    pool,
    context,
    gatewayAddress,
    limitMemory,
    limitBodies,
    limitPartialAnswers,
  };
}

/** Makes the calls of a host tell a reset from the end of an answer, as those of
 * hosts outside of tests do. */
export function distinguishResets(
  t: ava.ExecutionContext,
  { context }: Pick<Host, "context">,
): void {
  const dispatcher = new undici.Agent({
    connect: connector.create({ timeout: CONNECT_TIMEOUT_MS }),
    pipelining: 1,
  });
  t.teardown(() => dispatcher.destroy());
  Object.assign(context, { dispatcher });
}

/** Starts the server for callers of a host; resolves with it. */
export async function startServer(
  t: ava.ExecutionContext,
  { context }: Pick<Host, "context">,
): Promise<gateway.Server> {
  const server = await gateway.Server.start({
    context,
    callers: { address: "127.0.0.1", port: 0 },
    isReady: () => true,
  });
  t.teardown(() => server.stop());
  return server;
}

/** A gateway host of a test. */
export type Host = Awaited<ReturnType<typeof startHost>>;
