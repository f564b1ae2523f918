/** @module */

import test from "ava";
import * as telemetry from "../../telemetry/mod.ts";
import * as fakes from "./fake_keepers.ts";

const NAMES = ["a", "b", "c", "d", "e"];
const SEEDS = ["a", "b", "c"];

test("a host without a leader says whom it asks and whom it hears", async (t) => {
  const fleet = new fakes.FakeKeepers(NAMES, SEEDS);
  const lines: object[] = [];
  const note = (fields: object, msg: string) => {
    if (msg === "Log without a leader") lines.push(fields);
  };
  const logger = { ...telemetry.noLogger, info: note };
  await fleet.start(["a", "b"], { logger });
  await fleet.run(2500);
  t.like(lines[0], { isMember: false, voters: [], asks: SEEDS });
  t.true("b" in (lines.at(-2) as { heardMs: object }).heardMs);
});
