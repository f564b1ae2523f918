/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as healthSignals from "./health_signal.ts";
import * as pools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";

/** An endpoint with two slots whose service's calls take 100 ms, and what it
 * reports of its calls. */
function createEndpoint() {
  const pool = pools.EndpointPool.create();
  const entry = fixture.entry({ service: "s", slots: 2 });
  pool.update([entry], () => undefined);
  const [endpoint] = pool.endpointsOf("s");
  for (let count = 0; count < 20; count++) {
    endpoint.serviceDuration.observe(100);
  }
  const record = (
    duration: number,
    { wait, ...head }: Partial<protocols.ReplyHead> & { wait?: number } = {},
  ) => {
    const common = { status: 200, isNotRun: false, isMisdirected: false };
    const whole = { ...common, lacksInput: false, headers: {}, ...head };
    healthSignals.record(
      endpoint,
      {
        type: "answer",
        head: whole,
        body: Buffer.alloc(0),
        framing: "length",
      },
      {
        now: 0,
        duration,
        wait,
        isReceiving: true,
        metrics: telemetry.noMetrics,
        logger: telemetry.noLogger,
      },
    );
    const reports = pool.performances.get("s")!.takeReports();
    return reports.map(({ ratio }) => ratio.toFixed(2));
  };
  return { endpoint, record };
}

test("an answer shows how slow its endpoint is", (t) => {
  t.deepEqual(createEndpoint().record(150), ["1.50"]);
});

// Guards against endpoints that look fast because they fail at once.
test("an error answer says nothing of speed", (t) => {
  t.deepEqual(createEndpoint().record(1, { status: 500 }), []);
  t.deepEqual(createEndpoint().record(1, { status: 404 }), []);
});

// Guards against a popular endpoint that looks slow because calls wait there.
test("a wait that was known as the call was sent is no slowness", (t) => {
  t.deepEqual(createEndpoint().record(200, { wait: 1 }), ["1.00"]);
});

test("without a recent report, the load of the answer tells the wait", (t) => {
  const load = { running: 2, waiting: 1, slots: 2 };
  t.deepEqual(createEndpoint().record(200, { load }), ["1.00"]);
  t.deepEqual(createEndpoint().record(200, { load, wait: 0 }), ["2.00"]);
});

test("nothing is observed of a cold endpoint", (t) => {
  const { endpoint, record } = createEndpoint();
  endpoint.cold = { time: 1000, rate: 1 };
  endpoint.assumeCold(0);
  t.deepEqual(record(150), []);
});
