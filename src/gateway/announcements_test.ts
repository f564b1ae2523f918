/** @module */

import test from "ava";
import * as endpointFixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as announcements from "./announcements.ts";
import * as gateway from "./mod.ts";
import * as healthSignals from "./health_signal.ts";

function createEndpoint() {
  const pool = gateway.EndpointPool.create();
  pool.update([endpointFixture.entry({ service: "desk" })], () => undefined);
  return pool.endpointsOf("desk")[0];
}

/** Records heads of answers; returns the log lines. */
function record(
  endpoint: ReturnType<typeof createEndpoint>,
  ...heads: Partial<gateway.ReplyHead>[]
): unknown[] {
  const lines: unknown[] = [];
  const log = (details: object, message: string) =>
    void lines.push({ ...details, message });
  const logger = { ...telemetry.noLogger, info: log, warn: log };
  const options = {
    clock: new runtime.FakeClock(),
    metrics: telemetry.noMetrics,
    logger: logger as telemetry.Logger,
    request: "a-1",
  };
  for (const head of heads) {
    gateway.recordAnnouncements(endpoint, {
      status: 200,
      isNotRun: false,
      isMisdirected: false,
      lacksInput: false,
      headers: {},
      ...head,
    }, options);
  }
  return lines;
}

test("unreadable announcements of an endpoint are logged now and then", (t) => {
  const known = announcements.Announcements.create();
  t.true(known.recordUnreadable("load", 0));
  t.false(known.recordUnreadable("load", 9000));
  t.true(known.recordUnreadable("leaving", 9000), "one of another kind");
  t.true(known.recordUnreadable("load", 11_000));
});

// Guards against a log without other lines after an upgrade of all endpoints to
// software whose load reports hosts can't read.
test("unreadable announcements of many endpoints are logged once a second", (t) => {
  const pool = gateway.EndpointPool.create();
  const entries = Array.from(
    { length: 300 },
    (_, number) =>
      endpointFixture.entry({
        id: `i-${number}`,
        address: `10.0.0.1:${number + 1}`,
      }),
  );
  pool.update(entries, () => undefined);
  let lines = 0;
  for (let now = 0; now < 10_000; now += 100) {
    for (const { announcements } of pool.endpointsOf("desk")) {
      if (announcements.recordUnreadable("load", now)) lines++;
    }
  }
  t.is(lines, 10);
});

test("an unreadable load report is logged, counted and ignored", (t) => {
  const endpoint = createEndpoint();
  const counted: unknown[] = [];
  const lines = record(endpoint, { load: "unreadable" });
  t.like(lines, [{
    kinds: ["load"],
    request: "a-1",
    message: "Announcement in a response cannot be parsed; it is ignored",
  }]);
  gateway.recordAnnouncements(endpoint, {
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    lacksInput: false,
    headers: {},
    load: "unreadable",
  }, {
    clock: new runtime.FakeClock(),
    logger: telemetry.noLogger,
    metrics: {
      ...telemetry.noMetrics,
      count: (name, _, labels) => counted.push({ name, ...labels }),
    },
  });
  t.deepEqual(counted, [
    { name: "gateway.unreadable", service: "desk", kind: "load" },
  ]);
  endpoint.recordLoad({ running: 5, waiting: 0, slots: 4 }, 0);
  const head = {
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    lacksInput: false,
    headers: {},
    load: "unreadable" as const,
  };
  const outcome = {
    type: "answer" as const,
    head,
    body: Buffer.alloc(0),
    framing: "length" as const,
  };
  healthSignals.record(endpoint, outcome, {
    now: 100,
    duration: 10,
    isReceiving: true,
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
  });
  t.is(endpoint.load(100), 5, "the report before is kept");
});

test("an endpoint that announced its departure long ago did not leave", (t) => {
  const known = announcements.Announcements.create();
  const { LEAVING_LIFETIME_MS } = announcements;
  t.true(known.recordLeaving(0));
  t.false(known.recordLeaving(1000));
  t.true(known.isLeaving(LEAVING_LIFETIME_MS));
  t.false(known.isLeaving(LEAVING_LIFETIME_MS + 1000));
});

test("a shorter backoff does not end one in force", (t) => {
  const known = announcements.Announcements.create();
  known.recordBackoff(3000, 0);
  known.recordBackoff(500, 1000);
  t.is(known.backoff(1000), 2000);
  t.is(known.backoff(3000), 0);
});

test("a backoff has an upper bound", (t) => {
  const known = announcements.Announcements.create();
  known.recordBackoff(1e12, 0);
  t.is(known.backoff(0), announcements.MAX_BACKOFF_MS);
});

test("the first answer that announces a departure is logged with its request", (t) => {
  const endpoint = createEndpoint();
  const leaving = { leaving: "announced" } as const;
  const lines = record(endpoint, leaving, leaving);
  t.true(endpoint.announcements.isLeaving(0));
  t.is(lines.length, 1);
  t.like(lines[0], { endpoint: endpoint.identity.id, request: "a-1" });
});

test("a rejection with a backoff is logged with its duration", (t) => {
  const endpoint = createEndpoint();
  const head = { status: 503, isNotRun: true, retryAfter: 3000 };
  t.like(record(endpoint, head)[0], { request: "a-1", retryAfterMs: 3000 });
  t.is(endpoint.announcements.backoff(0), 3000);
});

// Guards against batch calls to endpoints that announced in answers to other
// batch calls that they are cold.
test("the answer to any call may announce that its endpoint is cold", (t) => {
  const endpoint = createEndpoint();
  endpoint.cold = { time: 3000, rate: 5 };
  record(endpoint, { coldFor: 1000 });
  t.is(endpoint.coldRate(900), 5);
  t.is(endpoint.coldRate(1100), undefined);
});

test("an error of an executed call asks for no backoff, but for status 503", (t) => {
  const endpoint = createEndpoint();
  t.deepEqual(record(endpoint, { status: 500, retryAfter: 3000 }), []);
  t.is(endpoint.announcements.backoff(0), 0);
  t.is(record(endpoint, { status: 503, retryAfter: 3000 }).length, 1);
  t.is(endpoint.announcements.backoff(0), 3000);
});

test("the answer of another endpoint announces nothing of the intended one", (t) => {
  const endpoint = createEndpoint();
  const head = { isMisdirected: true, isNotRun: true, retryAfter: 3000 };
  record(endpoint, { ...head, leaving: "announced" });
  t.false(endpoint.announcements.isLeaving(0));
  t.is(endpoint.announcements.backoff(0), 0);
});

test("announcements that cannot be parsed are logged and ignored", (t) => {
  const endpoint = createEndpoint();
  const head = { isNotRun: true, leaving: "unreadable" } as const;
  const lines = record(endpoint, { ...head, retryAfter: "unreadable" });
  t.is(lines.length, 1, "once for an endpoint within some seconds");
  t.false(endpoint.announcements.isLeaving(0));
  t.is(endpoint.announcements.backoff(0), 0);
});
