import test from "ava";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import type * as ledger from "../ledger.ts";
import * as text from "../text.ts";
import * as client from "./client.ts";
import * as file from "./file.ts";
import * as page from "./page.ts";
import * as plan from "./plan.ts";
import * as plots from "./plots.ts";
import * as report from "./report.ts";
import * as run from "./run.ts";
import * as target from "./target.ts";
import type * as verify from "./verify.ts";

function experiment(
  changes: Partial<schema.Experiment> = {},
): schema.Experiment {
  return {
    name: "trial",
    deployment: "kivu",
    seed: 7,
    duration: 10_000,
    arrivals: { rate: 20 },
    mix: [{
      account: "dive-crews",
      kind: "plan",
      share: 1,
      deadline: 1000,
      call: { type: "pipeline", pipeline: "dive-plan" },
      input: { characters: { type: "fixed", value: 400 }, histories: 2 },
      tokens: { type: "uniform", least: 2, most: 9 },
    }],
    ...changes,
  };
}

function planned(changed: schema.Experiment): plan.Planned[] {
  return [...plan.plan(changed, { nonce: "00ab01" })];
}

function against(totals: Partial<ledger.Totals> = {}) {
  const acted: schema.ScheduledFault[] = [];
  const made: target.Target = {
    hosts: ["http://127.0.0.1:1", "http://127.0.0.1:2"],
    ledger: () =>
      Promise.resolve({ owners: {}, requests: {}, costs: {}, ...totals }),
    act(fault) {
      acted.push(fault);
      return Promise.resolve();
    },
    stop: () => Promise.resolve(),
  };
  return { target: made, acted };
}

interface Trial {
  experiment: schema.Experiment;
  send: run.Options["send"];
  clock: runtime.FakeClock;
}

async function execute({ experiment, send, clock }: Trial) {
  const { target, acted } = against();
  const made = new run.Run({
    experiment,
    target,
    clock,
    nonce: "00ab01",
    send,
  });
  let outcomes: readonly run.Outcome[] | undefined;
  made.execute().then((result) => outcomes = result);
  while (outcomes === undefined) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.step();
  }
  return { outcomes, acted };
}

function whole({ marker }: plan.Planned): verify.Reply {
  const answer = { owner: marker.id, length: marker.length };
  const stages = [{
    name: "generate",
    service: "lm-pool",
    milliseconds: 12,
    attempts: 1,
  }];
  return { type: "answer", text: text.whole(answer), stages };
}

test("plans the same requests from the same seed", (t) => {
  const [one, again] = [planned(experiment()), planned(experiment())];
  t.deepEqual(one, again);
  t.notDeepEqual(one, planned(experiment({ seed: 8 })));
  t.is(new Set(one.map(({ marker }) => marker.id)).size, one.length);
});

test("plans about as many arrivals as rate and burst say", (t) => {
  const burst = { at: 4000, for: 2000, factor: 5 };
  const arrivals = { rate: 100, bursts: [burst] };
  const times = planned(experiment({ arrivals })).map(({ at }) => at);
  const during = times.filter((at) => at >= 4000 && at < 6000).length;
  t.true(Math.abs(during - 1000) < 130);
  t.true(Math.abs(times.length - during - 800) < 120);
});

test("stops at the bound on requests", (t) => {
  t.is(planned(experiment({ requests: 3 })).length, 3);
});

test("puts the marker and a shared beginning in each input", (t) => {
  const inputs = planned(experiment());
  const starts = new Set(inputs.map(({ input }) => input.text.slice(0, 200)));
  t.is(starts.size, 2);
  for (const { input, marker } of inputs) {
    t.deepEqual(text.find(input.text), [marker]);
  }
});

test("sends in time whatever becomes of earlier requests", async (t) => {
  const clock = new runtime.FakeClock();
  const sent: number[] = [];
  const slow = experiment({ requests: 20 });
  const { outcomes } = await execute({
    experiment: slow,
    clock,
    send: (asked) => {
      sent.push(clock.now());
      return new Promise((resolve) =>
        clock.after(5000, () => resolve(whole(asked)))
      );
    },
  });
  t.deepEqual(sent, planned(slow).map(({ at }) => at));
  t.true(outcomes.every(({ latency }) => latency === 5000));
  t.false(outcomes.some(run.attained));
});

test("counts latency from the intended time when it sends late", async (t) => {
  const clock = new runtime.FakeClock();
  let first = true;
  const { outcomes } = await execute({
    experiment: experiment({ requests: 2 }),
    clock,
    send: (asked) => {
      if (first) clock.advance(9000);
      first = false;
      return Promise.resolve(whole(asked));
    },
  });
  const [, second] = planned(experiment({ requests: 2 }));
  t.is(outcomes[1].latency, clock.now() - second.at);
  t.true(outcomes[1].latency > 8000);
});

test("asks again under the same marker when told when", async (t) => {
  const clock = new runtime.FakeClock();
  const [entry] = experiment().mix;
  const hosts: string[] = [];
  const { outcomes } = await execute({
    experiment: experiment({ requests: 1, mix: [{ ...entry, resends: 2 }] }),
    clock,
    send: (asked, { host }) => {
      hosts.push(host);
      if (hosts.length === 2) return Promise.resolve(whole(asked));
      return Promise.resolve({
        type: "problem",
        status: 503,
        name: "overloaded",
        outcome: "not-run",
        retryAfter: 300,
      });
    },
  });
  t.is(new Set(hosts).size, 2);
  t.is(outcomes[0].tries, 2);
  t.is(outcomes[0].latency, 300);
  t.true(run.attained(outcomes[0]));
});

test("carries out faults and reports what was violated", async (t) => {
  const clock = new runtime.FakeClock();
  const fault: schema.ScheduledFault = { at: 500, type: "slow", factor: 3 };
  const changed = experiment({ requests: 30, faults: [fault] });
  let count = 0;
  const { outcomes, acted } = await execute({
    experiment: changed,
    clock,
    send: (asked) =>
      Promise.resolve(whole(++count === 5 ? planned(changed)[0] : asked)),
  });
  t.deepEqual(acted, [fault]);
  const owners = Object.fromEntries(
    outcomes.map(({ marker }) => [
      marker,
      { "lm-pool": { runs: 1, most: 1, engineTime: 10 } },
    ]),
  );
  const totals = { owners, requests: {}, costs: {} };
  const made = report.create({ experiment: changed, outcomes, totals });
  t.deepEqual(made.violations, { crossed: 1 });
  t.is(made.counts.attained, 29);
  t.is(made.stages[0].p50, 12);
  t.is(made.accounts[0].engineTime, 300);
  const drawn = await plots.draw(made);
  t.true(drawn.every(({ svg }) => svg.startsWith("<svg")));
  const html = page.write(made, drawn);
  t.false(/(src|href)="?https?:/.test(html));
});

test("reads a streamed answer with its end", (t) => {
  const body = 'event: token\ndata: {"offset":0,"text":"z0-a"}\n\n' +
    'event: done\ndata: {"stages":[]}\n\n';
  const reply = client.readStream(body);
  t.is(reply.type, "answer");
  const cut = client.readStream(body.slice(0, body.indexOf("event: done")));
  t.is(cut.type, "broken");
});

test("refuses to load another machine", (t) => {
  const standIns = "http://127.0.0.1:9";
  const remote = (hosts: [string]) => () => target.remote({ hosts, standIns });
  t.throws(remote(["http://198.51.100.7:80"]), { message: /loopback/ });
  t.notThrows(remote(["http://127.0.0.1:8101"]));
});

test("names the line of a mistake in a file", (t) => {
  const body = "name: a\ndeployment: kivu\nduration: soon\n" +
    "arrivals: { rate: 1 }\nmix: []\n";
  t.throws(() => file.parse("a.yaml", body), {
    instanceOf: target.ExperimentError,
    message: /a\.yaml:[35]: /,
  });
});
