/** @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import * as accountShares from "../account_shares/mod.ts";
import * as configurationFixture from "../configuration/fixture.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
import type * as configurations from "../configuration/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as gateway from "./mod.ts";
import * as fixture from "./fixture.ts";
import * as shareCharges from "./share_charge.ts";

/** Objective of the requests, in milliseconds. */
const OBJECTIVE = 100;
/** An age at which a request is in time, and one at which it shows a lack of
 * capacity. */
const IN_TIME = 50;
const LATE = 201;

/** Outcome of a request that no call was sent for, unless `ending` says
 * otherwise. */
function outcomeOf(
  ending: Partial<shareCharges.RequestEnding>,
): accountShares.ChargeOutcome {
  return shareCharges.outcomeOf(
    { ms: IN_TIME, ...ending },
    { route: configurationFixture.route({ objective: OBJECTIVE }) },
  );
}

function requestOf(
  change: Partial<gateway.IncomingRequest>,
): gateway.IncomingRequest {
  return {
    id: "a-1",
    method: "POST",
    host: "host.example",
    target: "/a/x",
    headers: {},
    ...change,
  };
}

// Guards against contention that is seen where single calls are delayed.
test("an answer is late from twice its objective on", (t) => {
  t.is(outcomeOf({ ms: IN_TIME }), "served");
  t.is(outcomeOf({ ms: 2 * OBJECTIVE }), "served");
  t.is(outcomeOf({ ms: LATE }), "late");
});

test("a stream counts by its first event", (t) => {
  t.is(outcomeOf({ ms: LATE, firstEventMs: IN_TIME }), "served");
  t.is(outcomeOf({ ms: 2 * LATE, firstEventMs: LATE }), "late");
});

// Guards against contention that is seen after each loss of an engine: callers
// that resume have waited as long as they have read the stream.
test("the time before an attempt is not lateness", (t) => {
  const shares = new RecordedShares();
  const result = shareCharges.ShareCharge.create(shares, {
    ...chargeOptions(),
    request: requestOf({ resumeAfter: "7" }),
    priorWait: 10 * OBJECTIVE,
  });
  if (result.type !== "admitted") return t.fail();
  result.charge.end({ ms: IN_TIME, firstEventMs: IN_TIME });
  t.deepEqual(shares.outcomes, ["served"]);
});

test("a refusal after the first event counts as the caller was served", (t) => {
  const started = { reason: "no-pieces", ms: LATE } as const;
  t.is(outcomeOf({ ...started, firstEventMs: IN_TIME }), "served");
  t.is(outcomeOf({ ...started, firstEventMs: LATE }), "late");
});

test("refusals for lack of capacity are denied, others refunded", (t) => {
  const denied = [
    "no-time",
    "no-pieces",
    "not-run",
    "no-slot",
    "timeout-not-run",
    "timeout",
  ] as const;
  for (const reason of denied) t.is(outcomeOf({ reason }), "denied", reason);
  const others = ["no-endpoint", "rate-limited", "stopping"] as const;
  for (const reason of others) t.is(outcomeOf({ reason }), "unserved", reason);
});

// Guards against an overload that is not seen in a service of few endpoints: a
// request ends by their backoff once all of them have rejected it.
test("a backoff after a rejected call is denied, else refunded", (t) => {
  t.is(outcomeOf({ reason: "backoff", lastCall: "full" }), "denied");
  t.is(outcomeOf({ reason: "backoff", lastCall: "withheld" }), "unserved");
  t.is(outcomeOf({ reason: "backoff" }), "unserved");
});

// Guards against contention that is seen where engines crash, and against
// crashing requests that cost their account nothing.
test("a failure of an endpoint keeps the cost and is not denied", (t) => {
  const failed = { reason: "failed", lastCall: "broken" } as const;
  t.is(outcomeOf(failed), "served");
  t.is(outcomeOf({ ...failed, ms: LATE }), "served");
});

// Guards against timeouts that don't count: when a call reached its deadline
// before the timer of its request ended, the request was refused as failed.
test("a call that reaches the deadline is denied", (t) => {
  t.is(outcomeOf({ reason: "failed", lastCall: "deadline" }), "denied");
});

test("a caller that leaves after its objective was denied capacity", (t) => {
  const left = { reason: "left" } as const;
  t.is(outcomeOf(left), "unserved");
  t.is(outcomeOf({ ...left, ms: LATE }), "denied");
  t.is(outcomeOf({ ...left, lastCall: "open" }), "served");
  t.is(outcomeOf({ ...left, lastCall: "open", ms: LATE }), "late");
});

/** Shares that admit all requests and keep what they are told. */
class RecordedShares implements Pick<accountShares.AccountShares, "admit"> {
  readonly requests: accountShares.ShareRequest[] = [];
  readonly corrections: number[] = [];
  readonly outcomes: accountShares.ChargeOutcome[] = [];

  admit(request: accountShares.ShareRequest): accountShares.ShareAdmission {
    this.requests.push(request);
    const charge = {
      correct: (cost: number) => void this.corrections.push(cost),
      end: (outcome: accountShares.ChargeOutcome) =>
        void this.outcomes.push(outcome),
    };
    return { type: "admitted", charge };
  }
}

/** A request of the account `club`. */
function chargeOptions(): shareCharges.ShareChargeOptions {
  return {
    service: "desk",
    traitsOf: () => undefined,
    request: requestOf({}),
    route: configurationFixture.route({ objective: OBJECTIVE }),
    account: { name: "club", keys: [] },
    rank: 0,
    priorWait: 0,
  };
}

test("a charge takes the request's values and ends once", (t) => {
  const shares = new RecordedShares();
  const prompt = { model: "m", inputTokens: 100, outputTokens: 2, parts: [] };
  const result = shareCharges.ShareCharge.create(shares, {
    ...chargeOptions(),
    request: requestOf({ prompt }),
    rank: 3,
    priorWait: 400,
  });
  t.deepEqual(shares.requests, [
    { service: "desk", rank: 3, account: "club", cost: 120, priorWait: 400 },
  ]);
  if (result.type !== "admitted") return t.fail();
  result.charge.correct(30);
  result.charge.end({ reason: "no-time", ms: IN_TIME });
  result.charge.end({ ms: IN_TIME });
  result.charge.correct(100);
  t.deepEqual(shares.corrections, [50]);
  t.deepEqual(shares.outcomes, ["denied"]);
});

/** Outcomes of one request to a host whose endpoint handles it. */
async function outcomesOf(
  t: ava.ExecutionContext,
  { route = { kind: "unsafe" }, endpoint, change, during, compute, resumed }: {
    route?: Partial<configurations.Route>;
    endpoint: http.RequestListener;
    change?: Partial<gateway.Context>;
    /** Called once the endpoint has the request. */
    during?: (host: fixture.Host, leave: () => void) => void;
    compute?: gateway.Context["batcherClient"]["compute"];
    resumed?: string;
  },
): Promise<readonly accountShares.ChargeOutcome[]> {
  const host = await fixture.startHost(
    t,
    { objective: 1000, ...route },
    endpoint,
    compute,
  );
  const shares = new RecordedShares();
  Object.assign(host.context, { accountShares: shares, ...change });
  const leaving = new AbortController();
  void host.sent.then(() => during?.(host, () => leaving.abort()));
  await host.ask({
    signal: leaving.signal,
    ...(resumed && { headers: { "test-resume-after": resumed } }),
  }).catch(() => {});
  for (const { finished } of host.started) await finished;
  t.is(shares.requests.length, 1);
  return shares.outcomes;
}

const answer: http.RequestListener = (_, response) => {
  response.writeHead(200, { "test-signature": "s" }).end("done");
};

const answerLater: http.RequestListener = (request, response) => {
  fixture.clock.after(100, () => answer(request, response));
};

test("an answer ends the charge in time or late", async (t) => {
  t.deepEqual(await outcomesOf(t, { endpoint: answer }), ["served"]);
  const route = { kind: "unsafe", objective: 0 } as const;
  t.deepEqual(await outcomesOf(t, { route, endpoint: answerLater }), ["late"]);
});

test("a rejection by all endpoints ends the charge as denied", async (t) => {
  const endpoint: http.RequestListener = (_, response) => {
    response.writeHead(503, { "test-not-run": "1" }).end();
  };
  t.deepEqual(await outcomesOf(t, { endpoint }), ["denied"]);
});

test("a timeout ends the charge as denied", async (t) => {
  const route = { kind: "unsafe", timeout: 50 } as const;
  t.deepEqual(await outcomesOf(t, { route, endpoint() {} }), ["denied"]);
});

test("a broken call keeps its charge", async (t) => {
  const endpoint: http.RequestListener = (request) => request.socket.destroy();
  t.deepEqual(await outcomesOf(t, { endpoint }), ["served"]);
});

test("a stopping host ends the charge once", async (t) => {
  const during = ({ started }: fixture.Host) => started[0].abort();
  const endpoint = () => {};
  t.deepEqual(await outcomesOf(t, { endpoint, during }), ["served"]);
});

test("an internal error ends the charge without a denial", async (t) => {
  const quotas = {
    blockedEndpoints: [],
    needsProbe: () => false,
    recordLimit() {},
    isLimited() {
      throw new Error("expected");
    },
    acquire: () => Promise.resolve(0),
  };
  const change = { quotas };
  t.deepEqual(await outcomesOf(t, { endpoint: answer, change }), ["unserved"]);
});

test("a caller that leaves a call that is cancelled keeps its charge", async (t) => {
  const during = (_: fixture.Host, leave: () => void) => leave();
  const route = { kind: "safe", timeout: 3000 } as const;
  const endpoint = () => {};
  t.deepEqual(await outcomesOf(t, { route, endpoint, during }), ["served"]);
});

// Guards against a charge that ends when the caller leaves, and again with the
// answer of a call that continues.
test("a call that continues without its caller ends its charge once", async (t) => {
  const during = (_: fixture.Host, leave: () => void) => leave();
  const endpoint = answerLater;
  t.deepEqual(await outcomesOf(t, { endpoint, during }), ["served"]);
});

test("a caller that leaves before a call is refunded", async (t) => {
  const leaving = new AbortController();
  const host = await fixture.startHost(t, fixture.STREAM, answer, () => {
    leaving.abort();
    return new Promise(() => {});
  });
  const shares = new RecordedShares();
  Object.assign(host.context, { accountShares: shares });
  await host.ask({ signal: leaving.signal }).catch(() => {});
  await host.started[0].finished;
  t.deepEqual(shares.outcomes, ["unserved"]);
});

test("a started stream whose stages fail later counts as served", async (t) => {
  let runs = 0;
  const outcomes = await outcomesOf(t, {
    route: fixture.STREAM,
    endpoint(_, response) {
      response.writeHead(200, { "test-signature": "s" });
      response.write("id: 1\ndata: 1\n\n");
      fixture.clock.after(50, () => response.destroy());
    },
    compute: ({ pieces: [piece] }) => {
      const result = { piece, handle: "place/1" };
      const none = { piece, failure: "error" as const };
      return Promise.resolve(runs++ === 0 ? [result] : [none]);
    },
  });
  t.deepEqual(outcomes, ["served"]);
});

test("a request above its account's share is refused before any work", async (t) => {
  let calls = 0;
  const host = await fixture.startHost(t, { kind: "unsafe" }, () => calls++);
  const lines: Record<string, unknown>[] = [];
  const log = (details: Record<string, unknown>) => void lines.push(details);
  const details = { shareRate: 2.5, shareAgeMs: 120, capacity: 50 };
  const admit = () => ({ type: "refused" as const, wait: 812.4, details });
  Object.assign(host.context, {
    accountShares: { admit },
    logger: { ...host.context.logger, info: log },
  });
  const { statusCode, headers, body } = await host.request();
  t.is(statusCode, 503);
  t.is(headers["retry-after"], "0.812");
  t.like(await body.json(), { reason: "over-share" });
  t.is(calls, 0);
  t.like(lines[0], {
    reason: "over-share",
    service: "desk",
    retryAfter: 0.812,
    ...details,
  });
});

/** Calls to two endpoints that reject them, for a request whose account was or
 * was not refused for its share just before. */
async function rejectedCalls(
  t: ava.ExecutionContext,
  { isOverShare }: { isOverShare: boolean },
): Promise<number> {
  let calls = 0;
  const reject: http.RequestListener = (_, response) => {
    calls++;
    response.writeHead(503, { "test-not-run": "1" }).end();
  };
  const host = await fixture.startHost(t, { kind: "safe" }, reject);
  const [{ identity: { address } }] = host.pool.endpointsOf("desk");
  const other = await fixture.listen(t, reject);
  const entries = [address, other].map((each, number) =>
    endpointFixture.entry({ id: `n-${number}`, address: each })
  );
  host.pool.update(entries, () => undefined);
  const { retryBudget } = host.context;
  const budget = retryBudget("desk");
  Object.assign(host.context, { retryBudget: () => budget });
  const admitting = new RecordedShares();
  const details = { shareRate: 1, shareAgeMs: 0 };
  const refusing: Required<gateway.Context>["accountShares"] = {
    admit: () => ({ type: "refused", wait: 250, details }),
  };
  if (isOverShare) {
    Object.assign(host.context, { accountShares: refusing });
    await host.ask();
  }
  Object.assign(host.context, { accountShares: admitting });
  t.is((await host.ask()).status, 503);
  t.deepEqual(admitting.outcomes, ["denied"]);
  return calls;
}

test("a rejected call of an account that exceeds its share is not retried", async (t) => {
  t.is(await rejectedCalls(t, { isOverShare: false }), 2);
  t.is(await rejectedCalls(t, { isOverShare: true }), 1);
});

test("the cost of a prompt is corrected by what its engine's cache lacks", async (t) => {
  const host = await fixture.startHost(t, { kind: "unsafe" }, answer);
  const shares = new RecordedShares();
  const prompt = { model: "m", inputTokens: 100, outputTokens: 2, parts: [] };
  const [engine] = host.pool.endpointsOf("desk");
  const pendingWork = { tokens: 0, streams: 0 };
  const cacheMiss = { prefillTokens: 10, fetchTokens: 0, fetchTime: 0 };
  const source = "self" as const;
  const placed = { engine, firstEventTime: 0, cacheMiss, pendingWork, source };
  Object.assign(host.context, {
    accountShares: shares,
    protocol: {
      ...fixture.PROTOCOL,
      decodeRequest(message: http.IncomingMessage) {
        const decoded = fixture.PROTOCOL.decodeRequest(message);
        if (decoded.type === "ask") Object.assign(decoded.request, { prompt });
        return decoded;
      },
    },
    placement: { place: () => Promise.resolve(placed) },
  });
  t.is((await host.ask()).status, 200);
  t.deepEqual(shares.requests.map(({ cost }) => cost), [120]);
  t.deepEqual(shares.corrections, [30]);
});

test("the wait of a returning caller follows from its timeout", async (t) => {
  const host = await fixture.startHost(t, { kind: "safe" }, answer);
  const shares = new RecordedShares();
  Object.assign(host.context, { accountShares: shares });
  await host.ask({ headers: { "test-timeout": "3000" } });
  await host.ask({ headers: { "test-timeout": "2600" } });
  t.deepEqual(shares.requests.map(({ priorWait }) => priorWait), [0, 400]);
});

/** Shares that limit an account to 1 request a second, and their clock. */
async function limitedShares() {
  const clock = new runtime.FakeClock();
  const limits = [{ account: "club", rank: 0, rate: 1 }];
  const reply = {
    type: "shares",
    watched: true,
    capacity: 10,
    limits,
  } as const;
  const shares = accountShares.AccountShares.create({
    clock,
    random: runtime.createRandom(7),
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
    calls: { ask: () => Promise.resolve(reply) },
    controlHosts: () => ["control"],
  });
  shares.setContended(["desk"]);
  clock.advance(500);
  // The limits are set once the reply has been handled.
  await new Promise((resolve) => setImmediate(resolve));
  return { shares, clock };
}

/** Charges a request of the limited account; returns the seconds until a retry,
 * 0 if it is admitted. */
function retryAfterOf(
  shares: Pick<accountShares.AccountShares, "admit">,
  priorWait: number,
): number {
  const result = shareCharges.ShareCharge.create(shares, {
    ...chargeOptions(),
    priorWait,
  });
  return result.type === "admitted" ? 0 : result.details.retryAfter;
}

// Guards against callers that heed Retry-After and are refused for good, since
// new requests of their account take what gathers meanwhile.
test("a caller that returns after Retry-After goes before new requests", async (t) => {
  const { shares, clock } = await limitedShares();
  clock.advance(400);
  t.is(retryAfterOf(shares, 0), 0, "the share has room");
  const retryAfter = retryAfterOf(shares, 0);
  t.true(retryAfter >= 0.25, "the account is in debt");
  clock.advance(1000 * retryAfter);
  t.is(retryAfterOf(shares, 0), 0, "a new request takes the room");
  t.true(retryAfterOf(shares, 0) > 0, "another new one is refused");
  t.true(retryAfterOf(shares, 40) > 0, "as is one that is repeated at once");
  t.is(retryAfterOf(shares, 1000 * retryAfter), 0, "the returning one is not");
});

// Guards against limits on requests that need only what is not short: routes with
// other stages have other bottlenecks.
test("a request with stages competes for all of its services, by their time", (t) => {
  const shares = new RecordedShares();
  const stages = [
    { service: "maps", after: [], bytes: 1 },
    { service: "fees", after: [0], bytes: 1 },
  ];
  const result = shareCharges.ShareCharge.create(shares, {
    ...chargeOptions(),
    request: requestOf({ itemCounts: [2, 4] }),
    route: configurationFixture.route({ stages }),
    traitsOf: (service) =>
      configurationFixture.batchTraits(
        service === "maps"
          ? { batch: 4, callTime: 100, itemTime: 10 }
          : { batch: 10, callTime: 100, itemTime: 5 },
      ),
  });
  t.like(shares.requests[0], {
    service: "desk+fees+maps/0",
    cost: 2 * (10 + 25) + 4 * (5 + 10),
  });
  if (result.type !== "admitted") return t.fail();
  result.charge.correct(10);
  t.deepEqual(shares.corrections, []);
});

test("a request without an account is not charged", async (t) => {
  const route = { kind: "unsafe", isPublic: true } as const;
  const host = await fixture.startHost(t, route, answer);
  const shares = new RecordedShares();
  Object.assign(host.context, { accountShares: shares });
  t.is((await host.ask()).status, 200);
  t.deepEqual(shares.requests, []);
});
