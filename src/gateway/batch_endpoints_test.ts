/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as batchEndpoints from "./batch_endpoints.ts";
import * as endpointPools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";

const CALL_COUNT = 20;

/** Two endpoints of a service as batchers use them; the calls at the second took
 * `factor` times as long. */
function createEndpoints(factor: number, isPerformanceEnabled = true) {
  const clock = new runtime.FakeClock();
  const pool = endpointPools.EndpointPool.create({ isPerformanceEnabled });
  const entries = ["e-1", "e-2"].map((id) =>
    fixture.entry({ id, address: id })
  );
  pool.update(entries, () => undefined);
  const ids = pool.endpointsOf("desk").map(({ identity }) => identity.id);
  const endpoints = batchEndpoints.batchEndpointsOf(pool, {
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
  });
  for (let count = 0; count < CALL_COUNT; count++) {
    endpoints.recordDurationRatio(ids[0], 1);
    endpoints.recordDurationRatio(ids[1], factor);
    clock.advance(1000);
  }
  const slowness = (index: number) =>
    endpoints.sharedSlowness(ids[index], clock.now());
  return { clock, endpoints, slow: ids[1], slowness };
}

function createHead(slowness: number): protocols.ReplyHead {
  return {
    status: 200,
    isNotRun: false,
    isMisdirected: false,
    lacksInput: false,
    headers: {},
    load: { running: 1, waiting: 0, slots: 2, slowness },
  };
}

test("equal endpoints have no shared slowness", (t) => {
  const { slowness } = createEndpoints(1.2);
  t.deepEqual([slowness(0), slowness(1)], [undefined, undefined]);
});

test("there is no shared slowness where the part is turned off", (t) => {
  t.is(createEndpoints(2, false).slowness(1), undefined);
});

test("unequal endpoints have one from the durations of their calls", (t) => {
  const { clock, slowness } = createEndpoints(2);
  // The momentary slowness has faded by then.
  clock.advance(3000);
  t.is(slowness(0), 1);
  t.true(slowness(1)! > 1.7 && slowness(1)! <= 2);
});

test("an announced figure is used while it is fresh", (t) => {
  const { clock, endpoints, slow, slowness } = createEndpoints(2);
  endpoints.recordHead(slow, createHead(3));
  t.true(slowness(1)! > 5);
  clock.advance(3000);
  t.true(slowness(1)! < 2.1);
});
