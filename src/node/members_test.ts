import test from "ava";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as members from "./members.ts";

test("a host that has left sends no messages and sets no timer", (t) => {
  const clock = new runtime.FakeClock();
  const sent: runtime.Envelope[] = [];
  const self = { id: "a", dataCentre: "hall", address: "127.0.0.1", port: 1 };
  const host = members.Members.create({
    self: { ...self, incarnation: 1 },
    seeds: ["a", "b"],
    clock,
    random: runtime.createRandom(1),
    transport: { send: (envelope) => sent.push(envelope) },
    metrics: telemetry.noMetrics,
    logger: telemetry.noLogger,
    onChange() {},
  });
  host.start();
  host.receive("b", { type: "ping", probe: 1, root: "0" });
  t.true(sent.length > 0);
  host.leave();
  sent.length = 0;
  host.receive("b", { type: "ping", probe: 2, root: "0" });
  t.deepEqual(sent, []);
  t.false(clock.step());
});
