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
