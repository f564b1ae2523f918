/** @module */

import test from "ava";
import * as controlHosts from "./control_host_directory.ts";

const RANDOM = { next: () => 0, below: () => 0 };

function hostsOf(...seeds: string[]) {
  return controlHosts.ControlHostDirectory.create(seeds);
}

test("the host that answers is asked first, those that failed last", (t) => {
  const hosts = hostsOf("a", "b", "c", "d");
  hosts.recordFailure("a", 10);
  hosts.recordFailure("b", 5);
  t.deepEqual(hosts.inOrderOfPreference("d", RANDOM), ["d", "c", "b", "a"]);
  hosts.recordSuccess("a");
  t.deepEqual(hosts.inOrderOfPreference("d", RANDOM), ["d", "a", "c", "b"]);
});

test("hosts that are there are asked before those that were", (t) => {
  const hosts = hostsOf("a", "b");
  hosts.setConfirmed(["x", "c"], 0);
  hosts.setConfirmed(["c", "d"], 100);
  hosts.recordFailure("d", 200);
  const order = hosts.inOrderOfPreference(undefined, RANDOM);
  t.is(order[0], "c");
  t.is(order.at(-1), "d");
});

test("whoever was named is known until others are named for long", (t) => {
  const hosts = hostsOf("a");
  hosts.addReported(["b", "c"], 0);
  hosts.setConfirmed(["c"], 60_000);
  t.deepEqual(hosts.all.sort(), ["a", "b", "c"]);
  hosts.addReported(["c"], 60_001);
  t.deepEqual(hosts.all.sort(), ["a", "c"]);
});

test("nobody is forgotten while nobody is named", (t) => {
  const hosts = hostsOf("a");
  hosts.addReported(["b"], 0);
  hosts.recordFailure("b", 500_000);
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
    hosts.setConfirmed(["a", "b", "c"], 0);
    t.deepEqual(hosts.current, ["a", "b", "c"]);
  }
});

test("without any answer seeds have the duties", (t) => {
  t.deepEqual(hostsOf("a", "b").current, ["a", "b"]);
});
