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
  return (now: number) =>
    history.onlyVersion("models", { now, period: PERIOD });
}

test("a version is the only one once it was so for the whole period", (t) => {
  const only = historyOf(40_000, () => ["v1"]);
  t.is(only(29_000), undefined);
  t.is(only(40_000), "v1");
});

// Guards against streams of two versions after a roll-out: streams that began
// before it are not of the remaining version.
test("a version that has just replaced another one is not the only one", (t) => {
  const only = historyOf(40_000, (now) => [now < 20_000 ? "v1" : "v2"]);
  t.is(only(40_000), undefined);
  t.is(historyOf(50_000, (now) => [now < 20_000 ? "v1" : "v2"])(50_000), "v2");
});

test("an unknown version is never the only one", (t) => {
  t.is(historyOf(40_000, () => [""])(40_000), undefined);
  t.is(historyOf(40_000, () => ["v1", ""])(40_000), undefined);
});

test("a history starts anew after a time without observations", (t) => {
  const history = histories.VersionHistory.create();
  const seen = [{ service: "models", version: "v1" }];
  history.observe(seen, 0);
  history.observe(seen, 40_000);
  const only = (now: number) =>
    history.onlyVersion("models", { now, period: PERIOD });
  t.is(only(41_000), undefined);
});
