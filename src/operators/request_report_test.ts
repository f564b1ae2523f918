/** Tests of the request report.
 * @module */

import test from "ava";
import * as requestReport from "./request_report.ts";

function lineOf(change: Partial<requestReport.RequestLine> = {}) {
  return JSON.stringify({
    time: "2026-01-01T00:00:05.000Z",
    msg: "Request answered",
    route: "plans",
    status: 200,
    ms: 3000,
    objectiveMs: 1000,
    firstMs: 800,
    ...change,
  });
}

function summaryOf(...lines: string[]) {
  const read = requestReport.read(lines.join("\n"));
  return requestReport.summarize(read, 2);
}

test("requests are counted by outcome and reason", (t) => {
  const { routes } = summaryOf(
    lineOf(),
    lineOf({ firstMs: 1200 }),
    lineOf({ waitedMs: 300 }),
    lineOf({ msg: "Request refused", status: 503, reason: "no-time" }),
    lineOf({ msg: "Request refused", status: 502, reason: "failed" }),
    lineOf({ msg: "Stream broken off", status: 200, reason: "timeout" }),
    lineOf({ msg: "Caller left" }),
  );
  const counts = { "in-time": 1, late: 2, refused: 1, failed: 2, left: 1 };
  t.deepEqual(routes[0].counts, counts);
  t.deepEqual(routes[0].reasons, { "no-time": 1, failed: 1, timeout: 1 });
});

test("the phases of answered requests are summarized, rounds by service", (t) => {
  const rounds = [{ service: "maps", ms: 400 }, { service: "fees", ms: 300 }];
  const stages = { expectedMs: 650, tookMs: 710, rounds };
  const calls = [
    { ms: 40, outcome: "full" },
    { ms: 2000, first: 90, outcome: "ended" },
  ];
  const { routes: [{ times }] } = summaryOf(lineOf({ stages, calls }));
  const p50 = Object.fromEntries(
    Object.entries(times).map(([name, spread]) => [name, spread.p50]),
  );
  t.deepEqual(p50, {
    "pieces maps": 400,
    "pieces fees": 300,
    "all pieces": 710,
    "beyond forecast": 60,
    "earlier calls": 40,
    "first event of call": 90,
    "first event": 800,
  });
});

test("a request belongs to the window in which it arrived", (t) => {
  const { windows } = summaryOf(lineOf(), lineOf({ ms: 100 }));
  t.deepEqual(windows.map(({ name }) => name), [
    "2026-01-01T00:00:02.000Z",
    "2026-01-01T00:00:04.000Z",
  ]);
});

test("lines with a prefix are parsed, and other lines are skipped", (t) => {
  const lines = [`12.5 host-1 ${lineOf()}`, "no line", '{"msg":"Host drains"}'];
  t.is(requestReport.read([...lines, '{"msg":'].join("\n")).length, 1);
});
