import test from "ava";
import * as undici from "undici";
import * as runtime from "../src/runtime/mod.ts";
import * as engine from "./engine.ts";
import * as ledger from "./ledger.ts";
import * as simple from "./simple.ts";
import type * as standIn from "./stand_in.ts";
import * as text from "./text.ts";
import * as weightStore from "./weight_store.ts";

const marker = { id: "0123456789ab", length: 4 };
const headers = { "x-request-id": "r1", "x-stage": "draft", "x-attempt": "1" };

function options(service: string): standIn.Options & {
  clock: runtime.FakeClock;
} {
  return {
    id: `${service}-1`,
    service,
    dataCentre: "town-hall",
    ledger: new ledger.Ledger(),
    clock: new runtime.FakeClock(),
    seed: 1,
    reportEvery: 1e9,
  };
}

/** Moves virtual time on until `answer` is there. */
async function settle<T>(
  clock: runtime.FakeClock,
  answer: Promise<T>,
): Promise<T> {
  let settled = false;
  answer.then(() => settled = true, () => settled = true);
  while (!settled) {
    clock.advance(5);
    await new Promise((resolve) => setImmediate(resolve));
  }
  return answer;
}

async function post(url: string, body: unknown) {
  const answer = await undici.request(url, {
    method: "POST",
    headers,
    body: JSON.stringify(body),
  });
  return { ...answer, text: await answer.body.text() };
}

function tokens(body: string): string {
  const lines = body.split("\n\n").filter((line) => line.startsWith("data: {"));
  return lines
    .map((line) => JSON.parse(line.slice(6)).choices[0].text)
    .join("");
}

test("streams an engine's answer and counts its run", async (t) => {
  const made = options("lm-pool");
  const fake = new engine.Engine(made);
  await fake.start();
  t.teardown(() => fake.stop());
  const prompt = text.write(marker);
  const url = `${fake.url}/v1/completions`;
  const answer = await settle(made.clock, post(url, { prompt, stream: true }));
  t.is(answer.headers["x-request-id"], "r1");
  t.is(tokens(answer.text), text.whole(text.answer(prompt, 256)));
  t.true(answer.text.endsWith("data: [DONE]\n\n"));
  t.is(made.ledger.runs(marker.id), 1);
  t.is(made.ledger.stageRuns("r1", "draft"), 1);
});

test("resumes a stream where it is told to", async (t) => {
  const made = options("lm-pool");
  const fake = new engine.Engine(made);
  await fake.start();
  t.teardown(() => fake.stop());
  const body = { prompt: text.write(marker), stream: true, "resume_from": 2 };
  const url = `${fake.url}/v1/completions`;
  const answer = await settle(made.clock, post(url, body));
  t.is(tokens(answer.text), ` w2-${marker.id} z3-${marker.id}`);
});

test("refuses without a run when told to", async (t) => {
  const made = options("dive-desk");
  const fake = new simple.Simple({ ...made, kind: "plain" });
  await fake.start();
  t.teardown(() => fake.stop());
  fake.fault({ type: "refuse", count: 1 });
  const url = `${fake.url}/book/${encodeURIComponent(text.write(marker))}`;
  const refused = await settle(made.clock, post(url, {}));
  t.is(refused.statusCode, 503);
  t.is(refused.headers["x-outcome"], "not-run");
  t.is(made.ledger.runs(marker.id), 0);
  const taken = await settle(made.clock, post(url, {}));
  t.is(JSON.parse(taken.text).owner, marker.id);
  t.is(made.ledger.runs(marker.id, "dive-desk"), 1);
});

test("answers with another request's ids when crossed", async (t) => {
  const made = options("retriever");
  const fake = new simple.Simple({ ...made, kind: "retriever" });
  await fake.start();
  t.teardown(() => fake.stop());
  fake.fault({ type: "crossed" });
  const url = `${fake.url}/v1/retrieve`;
  const body = { text: text.write(marker), embedding: [] };
  const answer = await settle(made.clock, post(url, body));
  t.not(answer.headers["x-request-id"], "r1");
  t.not(JSON.parse(answer.text).id, "r1/draft/1");
});

test("breaks off in the middle when told to", async (t) => {
  const made = options("lm-pool");
  const fake = new engine.Engine(made);
  await fake.start();
  t.teardown(() => fake.stop());
  fake.fault({ type: "drop" });
  const body = { prompt: text.write(marker), stream: true };
  const answer = post(`${fake.url}/v1/completions`, body);
  await t.throwsAsync(settle(made.clock, answer));
});

test("moves prefix blocks from one engine to another", async (t) => {
  const made = options("lm-pool");
  const [from, to] = [new engine.Engine(made), new engine.Engine(made)];
  await Promise.all([from.start(), to.start()]);
  t.teardown(() => Promise.all([from.stop(), to.stop()]));
  const prompt = text.write(marker) + "a".repeat(3 * text.BLOCK_CHARACTERS);
  const ask = (fake: engine.Engine) =>
    settle(made.clock, post(`${fake.url}/v1/completions`, { prompt }));
  await ask(from);
  const prefix = text.prefix(prompt).at(-1);
  const exported = await post(`${from.url}/v1/kv/export`, { prefix });
  const { handle } = JSON.parse(exported.text);
  await post(`${to.url}/v1/kv/import`, { handle, from: from.url });
  const { text: body } = await ask(to);
  t.true(body.includes('"cached_tokens":192'));
});

test("loads a model from the weight store and obeys fencing", async (t) => {
  const made = options("lm-pool");
  const store = new weightStore.WeightStore({ ...made, rate: 1, burst: 1 });
  await store.start();
  const fake = new engine.Engine({ ...made, weights: store.url });
  await fake.start();
  t.teardown(() => Promise.all([fake.stop(), store.stop()]));
  const url = `${fake.url}/v1/orders`;
  const order = { type: "load", model: "hull-writer", version: "2" };
  t.is((await post(url, { token: 7, order })).statusCode, 202);
  while (fake.holding.loading) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.is(fake.holding.models.length, 2);
  const old = await post(url, { token: 6, order });
  t.is(old.statusCode, 409);
  t.deepEqual(JSON.parse(old.text), { token: 7 });
});

test("swallows what arrives on a silent connection", async (t) => {
  const made = options("gear-log");
  const fake = new simple.Simple({ ...made, kind: "plain" });
  await fake.start();
  const client = new undici.Client(fake.url);
  t.teardown(async () => {
    await client.destroy();
    await fake.stop();
  });
  const ask = () =>
    client.request({ method: "GET", path: "/list", headers })
      .then(({ body }) => body.text());
  await settle(made.clock, ask());
  fake.fault({ type: "silent" });
  ask().catch(() => {});
  while (fake.swallowed === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  await settle(made.clock, post(`${fake.url}/list`, {}));
  t.is(made.ledger.totals().costs["gear-log"].calls, 2);
});
