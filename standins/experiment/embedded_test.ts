import test from "ava";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import * as storage from "../../src/storage/mod.ts";
import type * as faults from "../faults.ts";
import * as client from "./client.ts";
import * as embedded from "./embedded.ts";
import * as report from "./report.ts";
import * as run from "./run.ts";

function entry(
  call: schema.Call,
  changes: Partial<schema.Entry>,
): schema.Entry {
  return {
    account: "dive-crews",
    kind: "plan",
    share: 1,
    deadline: 9000,
    call,
    input: { characters: { type: "fixed", value: 300 } },
    tokens: { type: "fixed", value: 4 },
    ...changes,
  };
}

function experiment(
  mix: [schema.Entry, ...schema.Entry[]],
): schema.Experiment {
  return {
    name: "trial",
    deployment: "kivu",
    duration: 10_000,
    requests: 8,
    arrivals: { rate: 500 },
    engines: { stepTime: 1 },
    mix,
  };
}

async function execute(
  of: schema.Experiment,
  fault?: faults.Fault & { service: string },
) {
  const target = await embedded.start(of, {
    // A real disk that is slow to sync would have claims refused.
    createStorage: () => storage.MemoryStorage.create(),
  });
  const tokens = new Map([["dive-crews", "sample-dive-crews"]]);
  const caller = new client.Client({ tokens });
  try {
    if (fault !== undefined) await target.act({ at: 0, ...fault });
    const outcomes = await new run.Run({
      experiment: of,
      target,
      clock: runtime.systemClock,
      nonce: "00ab02",
      send: (planned, made) => caller.send(planned, made),
    }).execute();
    const totals = await target.ledger();
    return report.create({ experiment: of, outcomes, totals });
  } finally {
    await caller.stop();
    await target.stop();
  }
}

const plan: schema.Call = { type: "pipeline", pipeline: "dive-plan" };
const booking: schema.Call = {
  type: "service",
  service: "dive-desk",
  path: "/bookings",
};

test("an embedded host answers whole, streamed or not", async (t) => {
  const made = await execute(experiment([
    entry(plan, { stream: true }),
    entry(plan, { input: { characters: { type: "fixed", value: 2000 } } }),
  ]));
  t.is(made.counts.sent, 8);
  t.deepEqual(made.violations, {});
  t.true(made.stages.some(({ name }) => name === "generate"));
});

test("bookings run at most once while answers break off", async (t) => {
  const changes = { idempotent: false, key: true, resends: 2 };
  const of = experiment([entry(booking, { kind: "booking", ...changes })]);
  const fault = { type: "drop" as const, share: 0.5, service: "dive-desk" };
  const made = await execute(of, fault);
  t.is(made.counts.sent, 8);
  t.deepEqual(made.violations, {});
  const [cost] = made.costs;
  t.truthy(cost, `No booking ran: ${JSON.stringify(made.problems)}`);
  t.true(cost.calls <= 8);
});
