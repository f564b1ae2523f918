/** @module */

import test from "ava";
import * as histories from "./version_history.ts";

const PERIOD = 30_000;

/** A history of observations each second; `versionsAt` lists those seen. */
function historyOf(until: number, versionsAt: (now: number) => string[]) {
  const history = histories.VersionHistory.create();
  for (let now = 0; now <= until; now += 1000) {
    const seen = versionsAt(now).map((version) => ({
      service: "models",
      version,
    }));
    history.observe(seen, now);
  }
  return (now: number) => history.versionsOf("models", { now, period: PERIOD });
}

test("a history is complete once it has lasted for the whole period", (t) => {
  const seenAt = historyOf(40_000, () => ["v1"]);
  t.deepEqual(seenAt(29_000), { versions: ["v1"], isComplete: false });
  t.deepEqual(seenAt(40_000), { versions: ["v1"], isComplete: true });
});

// Guards against streams of two versions after a roll-out: streams that began
// before it are not of the remaining version.
test("a version that has just replaced another one is not the only one", (t) => {
  const versionAt = (now: number) => [now < 20_000 ? "v1" : "v2"];
  t.deepEqual(historyOf(40_000, versionAt)(40_000).versions, ["v1", "v2"]);
  t.deepEqual(historyOf(50_000, versionAt)(50_000).versions, ["v2"]);
});

test("an unknown version counts as one of its own", (t) => {
  t.deepEqual(historyOf(40_000, () => [""])(40_000).versions, [""]);
  t.deepEqual(historyOf(40_000, () => ["v1", ""])(40_000).versions, ["v1", ""]);
});

test("a service that was never seen has no versions", (t) => {
  const history = histories.VersionHistory.create();
  history.observe([], 0);
  const span = { now: 0, period: PERIOD };
  t.deepEqual(history.versionsOf("models", span), {
    versions: [],
    isComplete: false,
  });
});

test("a history starts anew after a time without observations", (t) => {
  const history = histories.VersionHistory.create();
  const seen = [{ service: "models", version: "v1" }];
  history.observe(seen, 0);
  history.observe(seen, 40_000);
  const span = { now: 41_000, period: PERIOD };
  t.false(history.versionsOf("models", span).isComplete);
});
