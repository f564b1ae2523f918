import test from "ava";
import * as fakePath from "./fake_path.ts";
import * as policies from "../policies/mod.ts";
import * as runtime from "../runtime/mod.ts";

test("refuses invalid requests without a call", async (t) => {
  const started = await fakePath.start(fakePath.allEndpoints);
  const pipeline = `${started.url}/v1/pipelines/plan`;
  const good = { input: { text: "a" } };
  const cases: [string, number, Promise<fakePath.Answer>][] = [
    ["bad-request", 400, fakePath.post(pipeline, "{")],
    ["bad-request", 400, fakePath.post(pipeline, { input: { txt: "a" } })],
    ["body-too-large", 413, fakePath.post(pipeline, "x".repeat(3000))],
    ["unknown-pipeline", 404, fakePath.post(`${pipeline}x`, good)],
    [
      "unknown-service",
      404,
      fakePath.post(`${started.url}/v1/services/lm-pool/x`, good),
    ],
    [
      "unauthorized",
      401,
      fakePath.post(pipeline, good, {
        headers: { authorization: "Bearer wrong" },
      }),
    ],
    [
      "deadline-passed",
      504,
      fakePath.post(pipeline, good, {
        headers: { "chicoryloft-deadline": "-5" },
      }),
    ],
    [
      "bad-request",
      400,
      fakePath.post(pipeline, good, {
        headers: { "chicoryloft-deadline": "soon" },
      }),
    ],
    [
      "claim-refused",
      503,
      fakePath.post(pipeline, good, {
        headers: { "idempotency-key": "k", "chicoryloft-idempotent": "false" },
      }),
    ],
    [
      "unauthorized",
      401,
      fakePath.post(`${started.url}/v1/endpoints/e1`, {}, { method: "PUT" }),
    ],
  ];
  for (const [name, status, pendingAnswer] of cases) {
    const answer = await pendingAnswer;
    t.like(answer.body, {
      type: `urn:chicoryloft:problem:${name}`,
      status,
      outcome: "not-run",
    });
    t.is(answer.headers["content-type"], "application/problem+json");
  }
  const calls = Object.values(started.fleet).map((each) => each.calls());
  t.deepEqual(calls, [0, 0, 0, 0]);
  await started.stop();
});

function refuseAll(status: number, headers = {}): fakePath.Serve {
  return (_incoming, response) => response.writeHead(status, headers).end();
}

const refuseNotRun = refuseAll(503, {
  "x-outcome": "not-run",
  "retry-after": "7",
});

test("reports at once that all endpoints refuse, with their retry-after", async (t) => {
  // The clock does not advance, so the answer can't wait for a timer.
  const clock = new runtime.FakeClock();
  const serves = { "lm-pool@1": refuseNotRun, "lm-pool@2": refuseNotRun };
  const started = await fakePath.start(serves, { clock });
  const url = `${started.url}/v1/pipelines/short`;
  const answer = await fakePath.post(url, { input: { text: "a" } });
  t.like(answer.body, { status: 502, outcome: "not-run", retryAfter: 7000 });
  t.is(answer.headers["retry-after"], "7");
  t.is(clock.now(), 0);
  await started.stop();
});

test("refuses a failing request long before its deadline with production policies", async (t) => {
  const clock = new runtime.FakeClock();
  const policySet = policies.create({
    dataCentre: "gisenyi-hall",
    random: runtime.createRandom(1),
  });
  const serves = { "lm-pool@1": refuseAll(500), "lm-pool@2": refuseAll(500) };
  const started = await fakePath.start(serves, { clock, policySet });
  const url = `${started.url}/v1/pipelines/short`;
  const turns = setInterval(() => clock.advance(1), 1);
  const answer = await fakePath.post(url, { input: { text: "a" } });
  clearInterval(turns);
  t.like(answer.body, { status: 502, outcome: "unknown", retryAfter: 1000 });
  t.true(clock.now() < 10_000, `${clock.now()}`);
  await started.stop();
});

test("sends retry-after with each refusal that a retry can help", async (t) => {
  const limits = { inFlight: 0 };
  const full = { settings: { ...fakePath.settingsOf(), limits } };
  const limited = policies.create({
    dataCentre: "gisenyi-hall",
    random: runtime.createRandom(1),
  });
  const book: fakePath.Serve = (_incoming, response) => response.end("booked");
  const cases: [number, string, fakePath.RunningPath][] = [
    [503, "no-endpoint", await fakePath.start({})],
    [503, "overloaded", await fakePath.start({ billing: book }, full)],
    [503, "stopping", await fakePath.start({ billing: book })],
    [
      429,
      "rate-limited",
      await fakePath.start({ billing: book }, { policySet: limited }),
    ],
  ];
  cases[2][2].path.drain();
  const policy = new Map([["account/kivu-crew", { rate: 0.1 }]]);
  cases[3][2].path.setPolicies(policy);
  for (const [status, name, started] of cases) {
    const url = `${started.url}/v1/services/billing/`;
    // The rate limit admits the first request.
    if (status === 429) await fakePath.post(url, "book");
    const { body, headers } = await fakePath.post(url, "book");
    const type = `urn:chicoryloft:problem:${name}`;
    t.like(body, { type, status, outcome: "not-run" });
    t.true(Number(headers["retry-after"]) >= 1, name);
    await started.stop();
  }
});

test("sends no retry-after when a request that is not idempotent may have run", async (t) => {
  const headers = { "chicoryloft-idempotent": "false" };
  const cut: fakePath.Serve = (_incoming, response) => response.destroy();
  const other = await fakePath.start({ billing: cut });
  const url = `${other.url}/v1/services/billing/`;
  const answer = await fakePath.post(url, "book", { headers });
  t.like(answer.body, { status: 502, outcome: "unknown" });
  t.is(answer.headers["retry-after"], undefined);
  t.is(other.fleet.billing.calls(), 1);
  await other.stop();
});
