import test from "ava";
import * as naiveDispatcher from "../naive_dispatcher.ts";
import * as deployments from "./deployments.ts";
import * as dispatchers from "./dispatchers.ts";
import * as scenario from "./scenario.ts";
import * as summary from "./summary.ts";
import * as world from "./world.ts";

const LENGTH = 30_000;

function createRun(name: string, create: world.Run["create"]): world.Run {
  const [users] = deployments.DEPLOYMENTS;
  const found = scenario.SCENARIOS.find((one) => one.name === name)!;
  const short = { ...found, length: LENGTH };
  return { users, scenario: short, seed: 5, hosts: 2, create };
}

function summarize(run: world.Run): summary.Summary {
  return summary.summarize(world.play(run), run.users, run.scenario);
}

function createNaive(): world.Dispatcher {
  return new naiveDispatcher.NaiveDispatcher();
}

test("a run repeats from its seed", (t) => {
  const run = createRun("straggler", dispatchers.create);
  t.deepEqual(summarize(run), summarize(run));
});

test("the load is the share of capacity that was asked for", (t) => {
  const run = createRun("steady", createNaive);
  const { attainment, cost } = summarize(run);
  t.is(attainment, 1);
  const share = cost.generate / (6 * 8 * LENGTH);
  t.true(share > 0.6 && share < 0.8, `${share}`);
});

test("sees a request that must not be repeated run twice", (t) => {
  const naive = summarize(createRun("failing", createNaive));
  t.true(
    naive.violations.some((line) => line.endsWith("dispatched book twice")),
  );
});

for (const { name } of scenario.SCENARIOS) {
  test(`keeps what must always hold: ${name}`, (t) => {
    const run = createRun(name, dispatchers.create);
    t.deepEqual(summarize(run).violations, []);
  });
}
