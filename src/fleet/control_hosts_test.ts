/** @module */

import test from "ava";
import * as controlHosts from "./control_hosts.ts";

const RANDOM = { next: () => 0, below: () => 0 };

function hostsOf(...seeds: string[]) {
  return controlHosts.ControlHosts.create(seeds);
}

test("the host that answers is asked first, those that failed last", (t) => {
  const hosts = hostsOf("a", "b", "c", "d");
  hosts.fail("a", 10);
  hosts.fail("b", 5);
  t.deepEqual(hosts.inTurn("d", RANDOM), ["d", "c", "b", "a"]);
  hosts.succeed("a");
  t.deepEqual(hosts.inTurn("d", RANDOM), ["d", "a", "c", "b"]);
});

test("hosts that are there are asked before those that were", (t) => {
  const hosts = hostsOf("a", "b");
  hosts.confirm(["x", "c"], 0);
  hosts.confirm(["c", "d"], 100);
  hosts.fail("d", 200);
  const order = hosts.inTurn(undefined, RANDOM);
  t.is(order[0], "c");
  t.is(order.at(-1), "d");
});

test("whoever was named is known until others are named for long", (t) => {
  const hosts = hostsOf("a");
  hosts.name(["b", "c"], 0);
  hosts.confirm(["c"], 60_000);
  t.deepEqual(hosts.all.sort(), ["a", "b", "c"]);
  hosts.name(["c"], 60_001);
  t.deepEqual(hosts.all.sort(), ["a", "c"]);
});

test("nobody is forgotten while nobody is named", (t) => {
  const hosts = hostsOf("a");
  hosts.name(["b"], 0);
  hosts.fail("b", 500_000);
  t.deepEqual(hosts.all.sort(), ["a", "b"]);
});

/** What was seen in code: duties that one control host has for the fleet, such as
 * granting within a rate limit, went to seeds that were gone: each question waited
 * for them in vain, and hosts with other seeds asked others. Seeds are whom the
 * settings named at some time; an answer names whom the fleet has now. */
test("duties go to hosts that are there, whatever seeds were named", (t) => {
  const one = hostsOf("gone", "a");
  const other = hostsOf("b", "lost");
  for (const hosts of [one, other]) {
    hosts.confirm(["a", "b", "c"], 0);
    t.deepEqual(hosts.current, ["a", "b", "c"]);
  }
});

test("without any answer seeds have the duties", (t) => {
  t.deepEqual(hostsOf("a", "b").current, ["a", "b"]);
});
