/** @module */

import test from "ava";
import * as fixture from "../endpoints/fixture.ts";
import * as brittlenesses from "./brittleness.ts";
import * as gateway from "./mod.ts";

test("an endpoint is brittle while its answers announce it", (t) => {
  const endpoint = brittlenesses.Brittleness.create();
  t.false(endpoint.isBrittle(0));
  t.true(endpoint.record(true, 10));
  t.false(endpoint.record(true, 20));
  t.true(endpoint.isBrittle(30));
  t.true(endpoint.record(false, 40));
  t.false(endpoint.isBrittle(50));
});

test("an announcement without further answers expires", (t) => {
  const endpoint = brittlenesses.Brittleness.create();
  endpoint.record(true, 0);
  t.true(endpoint.isBrittle(9999));
  t.false(endpoint.isBrittle(10_000));
});

// Guards against calls of hosts that an endpoint has not answered yet:
// rejections of all hosts add up.
test("an endpoint counts as brittle while others of its service announce it", (t) => {
  const pool = gateway.EndpointPool.create();
  const entry = (number: number, service: string) =>
    fixture.entry({
      id: `${service}-${number}`,
      address: `10.0.0.${number}:80`,
      service,
      slots: 3,
    });
  pool.update(
    [entry(1, "desk"), entry(2, "desk"), entry(3, "maps")],
    () => undefined,
  );
  const [first, second] = pool.endpointsOf("desk");
  const [other] = pool.endpointsOf("maps");
  first.brittleness.record(true, 100);
  t.is(first.concurrencyLimit(200), 3);
  t.is(second.concurrencyLimit(200), 3);
  t.is(other.concurrencyLimit(200), undefined);
  second.brittleness.record(false, 300);
  t.is(second.concurrencyLimit(400), undefined);
  t.is(first.concurrencyLimit(400), 3);
});
