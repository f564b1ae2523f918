/** @module */

import test from "ava";
import * as peakCounts from "./peak_count.ts";

test("a larger count is forgotten only after the window", (t) => {
  const hosts = peakCounts.PeakCount.create(10_000);
  t.is(hosts.peak(0), 0);
  hosts.record(6, 0);
  hosts.record(2, 60_000);
  hosts.record(4, 61_000);
  t.is(hosts.peak(69_999), 6);
  t.is(hosts.peak(70_000), 4);
});

test("a count that lasts stays", (t) => {
  const hosts = peakCounts.PeakCount.create(10_000);
  hosts.record(6, 0);
  hosts.record(6, 50_000);
  t.is(hosts.peak(1_000_000), 6);
});

test("a larger count is used at once", (t) => {
  const hosts = peakCounts.PeakCount.create(10_000);
  hosts.record(1, 0);
  hosts.record(6, 100);
  t.is(hosts.peak(100), 6);
});
