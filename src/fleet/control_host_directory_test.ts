/** @module */

import test from "ava";
import * as controlHostDirectory from "./control_host_directory.ts";

const RANDOM = { next: () => 0, below: () => 0 };

function createDirectory(...seeds: string[]) {
  return controlHostDirectory.ControlHostDirectory.create(seeds);
}

test("the host in use comes first, failed hosts come last", (t) => {
  const directory = createDirectory("a", "b", "c", "d");
  directory.recordFailure("a", 10);
  directory.recordFailure("b", 5);
  t.deepEqual(directory.inOrderOfPreference("d", RANDOM), ["d", "c", "b", "a"]);
  directory.recordSuccess("a");
  t.deepEqual(directory.inOrderOfPreference("d", RANDOM), ["d", "a", "c", "b"]);
});

test("present hosts come before hosts that were listed earlier", (t) => {
  const directory = createDirectory("a", "b");
  directory.setConfirmed(["x", "c"], 0);
  directory.setConfirmed(["c", "d"], 100);
  directory.recordFailure("d", 200);
  const order = directory.inOrderOfPreference(undefined, RANDOM);
  t.is(order[0], "c");
  t.is(order.at(-1), "d");
});

test("a host is forgotten after replies have listed only others for long", (t) => {
  const directory = createDirectory("a");
  directory.addReported(["b", "c"], 0);
  directory.setConfirmed(["c"], 60_000);
  t.deepEqual(directory.all.sort(), ["a", "b", "c"]);
  directory.addReported(["c"], 60_001);
  t.deepEqual(directory.all.sort(), ["a", "c"]);
});

test("no host is forgotten while no reply lists any", (t) => {
  const directory = createDirectory("a");
  directory.addReported(["b"], 0);
  directory.recordFailure("b", 500_000);
  t.deepEqual(directory.all.sort(), ["a", "b"]);
});

// Guards against fleet-wide tasks, such as granting rate limits, that go to
// seeds which no longer exist: every request waited for a timeout, and hosts
// with different seeds derived different owners.
test("fleet-wide tasks go to present hosts, whatever the seeds are", (t) => {
  const one = createDirectory("gone", "a");
  const other = createDirectory("b", "lost");
  for (const directory of [one, other]) {
    directory.setConfirmed(["a", "b", "c"], 0);
    t.deepEqual(directory.current, ["a", "b", "c"]);
  }
});

test("fleet-wide tasks go to the seeds until the first reply", (t) => {
  t.deepEqual(createDirectory("a", "b").current, ["a", "b"]);
});
