import * as dgram from "node:dgram";
import * as events from "node:events";
import test from "ava";
import * as telemetry from "./mod.ts";

test("a tally sums counters by name and labels", (t) => {
  const tally = new telemetry.Tally();
  tally.count("call.failed", 1, { reason: "silent" });
  tally.count("call.failed", 2, { reason: "refused" });
  tally.count("request.arrived");
  t.is(tally.total("call.failed"), 3);
  t.deepEqual(tally.toJSON().counts, {
    "call.failed{reason=refused}": 2,
    "call.failed{reason=silent}": 1,
    "request.arrived": 1,
  });
});

test("a tally keeps a summary of times and the last gauge", (t) => {
  const tally = new telemetry.Tally();
  [5, 1, 9].forEach((ms) => tally.time("request.duration", ms));
  [3, 4].forEach((value) => tally.gauge("request.queued", value));
  const { times, gauges } = tally.toJSON();
  const summary = { count: 3, sum: 15, least: 1, most: 9 };
  t.deepEqual(times, { "request.duration": summary });
  t.deepEqual(gauges, { "request.queued": 4 });
});

test("the logger redacts secrets at each of three depths", (t) => {
  const lines: string[] = [];
  const logger = telemetry.createLogger({
    host: "gisenyi-1",
    destination: { write: (line) => lines.push(line) },
  });
  const secrets = { token: "s1", cell: { tokenHash: "s2" } };
  logger.info({ ...secrets, a: { headers: { authorization: "s3" } } }, "Hi");
  t.is(lines.length, 1);
  t.notRegex(lines[0], /s1|s2|s3/);
  t.like(JSON.parse(lines[0]), { level: "info", host: "gisenyi-1", msg: "Hi" });
});

test("statsd receives documented names with prefix and labels", async (t) => {
  const server = dgram.createSocket("udp4");
  server.bind(0, "127.0.0.1");
  await events.EventEmitter.once(server, "listening");
  const { port } = server.address();
  const received = events.EventEmitter.once(server, "message");
  const statsd = await telemetry.openStatsd(
    { address: "127.0.0.1", port },
    (error) => t.fail(error.message),
  );
  statsd.count("call.started", 2, { service: "lm-pool" });
  await statsd.close();
  const [message] = await received;
  t.is(
    String(message).trim(),
    "chicoryloft.call.started:2|c|#service:lm-pool",
  );
  server.close();
});
