/** Tests of calls whose endpoint sends nothing for a while, on loopback.
 * @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
import * as callLimits from "./call_limits.ts";
import * as fixture from "./fixture.ts";
import * as gateway from "./mod.ts";

/** Milliseconds after which a call of `SAFE` is silent. */
const IDLE_TIMEOUT_MS = 800;
const SAFE: Partial<configurations.Route> = {
  kind: "safe",
  attempts: 2,
  objective: 100,
  timeout: 5000,
};
const STREAM: Partial<configurations.Route> = {
  ...SAFE,
  kind: "streaming",
  resumable: true,
};
const SIGNED = { "test-signature": "s" };

/** How an endpoint treats the calls that reach it. */
interface Behaviour {
  /** Milliseconds without a byte, before a plain answer or after the first event
   * of a stream. */
  readonly silence: number;
  readonly version?: string;
}

/** A host before endpoints that each handle their calls in their own way; they
 * are chosen in their order. */
async function startEndpoints(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  handlers: readonly (http.RequestListener & { readonly version?: string })[],
  compute?: gateway.Context["batcherClient"]["compute"],
) {
  const calls = handlers.map(() => ({ count: 0, closed: 0 }));
  const handlerOf = (index: number): http.RequestListener => {
    return (request, response) => {
      calls[index].count++;
      response.once("close", () => {
        if (!response.writableFinished) calls[index].closed++;
      });
      handlers[index](request, response);
    };
  };
  const host = await fixture.startHost(t, route, handlerOf(0), compute);
  const { address } = host.pool.endpointsOf("desk")[0].identity;
  const others = await Promise.all(
    handlers.slice(1).map((_, index) =>
      fixture.listen(t, handlerOf(index + 1))
    ),
  );
  const entries = [address, ...others].map((each, index) =>
    endpointFixture.entry({
      id: `e-${index + 1}`,
      address: each,
      version: handlers[index].version ?? "v1",
    })
  );
  host.pool.update(entries, () => undefined);
  const endpoints = host.pool.endpointsOf("desk");
  endpoints.forEach((each, index) => each.meanDuration = 1 + 100 * index);
  return { ...host, calls, endpoints };
}

/** Answers with its index, and is silent for a while before the answer or after
 * the first event of a stream. */
function handlerOf(
  route: Partial<configurations.Route>,
  { silence, version }: Behaviour,
  index: number,
) {
  const handle: http.RequestListener = async (request, response) => {
    const isStream = route.kind === "streaming";
    response.writeHead(200, SIGNED);
    const isResumed = request.headers["test-resume-after"] !== undefined;
    if (isStream && !isResumed) response.write(`id: 1\ndata: ${index}\n\n`);
    else response.flushHeaders();
    await fixture.pause(silence);
    if (response.destroyed) return;
    response.end(isStream ? `id: 2\ndata: ${index}\n\n` : `${index}`);
  };
  return Object.assign(handle, { version });
}

/** A host before endpoints that are each silent for a while. */
function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  behaviours: readonly Behaviour[],
) {
  const handlers = behaviours.map((each, index) =>
    handlerOf(route, each, index)
  );
  return startEndpoints(t, route, handlers);
}

/** Answers with a status, and the same as the body. */
function answerWith(status: number): http.RequestListener {
  return (_, response) => {
    response.writeHead(status, SIGNED).end(`${status}`);
  };
}

/** Ids of a stream's events. */
function idsOf(text: string): string[] {
  return [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id);
}

// The next tests guard against answers that are given up although the endpoint
// goes on: a silent call was cancelled while nothing else had answered.
test("a silent call goes on when no further attempt is allowed", async (t) => {
  const { ask, calls } = await startHost(t, { ...SAFE, attempts: 1 }, [
    { silence: 2 * IDLE_TIMEOUT_MS },
    { silence: 0 },
  ]);
  t.deepEqual(await ask(), { status: 200, text: "0" });
  t.deepEqual(calls.map(({ count }) => count), [1, 0]);
});

// Guards against events of two runs in one stream: a call beside a silent one
// begins anew where it is not known which events have been sent.
test("a silent stream without ids goes on at its endpoint", async (t) => {
  const silent: http.RequestListener = async (_, response) => {
    response.writeHead(200, SIGNED).write("data: 1\n\n");
    await fixture.pause(2 * callLimits.EVENT_IDLE_TIMEOUT_MS);
    response.end("data: 2\n\n");
  };
  const other: http.RequestListener = (_, response) => {
    response.writeHead(200, SIGNED).end("data: 3\n\n");
  };
  const handlers = [silent, other].map((handle) =>
    Object.assign(handle, { version: "v1" })
  );
  const { ask, calls } = await startEndpoints(t, STREAM, handlers);
  const text = "data: 1\n\ndata: 2\n\n";
  t.deepEqual(await ask(), { status: 200, text });
  t.deepEqual(calls.map(({ count }) => count), [1, 0]);
});

test("a silent call goes on when the retry budget is used up", async (t) => {
  const { ask, context } = await startHost(t, SAFE, [
    { silence: 2 * IDLE_TIMEOUT_MS },
    { silence: 0 },
  ]);
  const none = { ratio: 0, burst: 0, window: 1000 };
  Object.assign(context, {
    retryBudget: () => gateway.RetryBudget.create(none),
  });
  t.deepEqual(await ask(), { status: 200, text: "0" });
});

test("a silent call goes on when the other endpoint is silent too", async (t) => {
  const { ask, calls } = await startHost(t, SAFE, [
    { silence: 1.5 * IDLE_TIMEOUT_MS },
    { silence: 4 * IDLE_TIMEOUT_MS },
  ]);
  t.deepEqual(await ask(), { status: 200, text: "0" });
  t.deepEqual(calls.map(({ count }) => count), [1, 1]);
});

test("a silent stream goes on at its endpoint when no other has its version", async (t) => {
  const { ask } = await startHost(t, STREAM, [
    { silence: 1600, version: "v1" },
    { silence: 0, version: "v2" },
  ]);
  const { text } = await ask();
  t.deepEqual(idsOf(text), ["1", "2"]);
  t.false(text.includes("data: 1"));
});

// Guards against engines that work on after the call is answered, and against a
// stream that is served by two of them.
test("a silent call is cancelled once another endpoint answers", async (t) => {
  const { ask, calls } = await startHost(t, SAFE, [
    { silence: 60_000 },
    { silence: 0 },
  ]);
  t.deepEqual(await ask(), { status: 200, text: "1" });
  await fixture.pause(100);
  t.deepEqual(calls, [{ count: 1, closed: 1 }, { count: 1, closed: 0 }]);
});

test("the later call is cancelled once the silent one goes on", async (t) => {
  const { ask, calls } = await startHost(t, SAFE, [
    { silence: 1.5 * IDLE_TIMEOUT_MS },
    { silence: 60_000 },
  ]);
  t.deepEqual(await ask(), { status: 200, text: "0" });
  await fixture.pause(100);
  t.deepEqual(calls, [{ count: 1, closed: 0 }, { count: 1, closed: 1 }]);
});

// Guards against more runs of a request than its route allows: a call that is
// still open counts as one.
test("no more calls are open at once than attempts are allowed", async (t) => {
  const silences = [4000, 4000, 4000].map((silence) => ({ silence }));
  const { ask, calls } = await startHost(t, SAFE, silences);
  await ask();
  t.is(calls.reduce((sum, { count }) => sum + count, 0), 2);
});

test("an error answer beside a silent call is not retried beyond the attempts", async (t) => {
  const silent = handlerOf(SAFE, { silence: 4000 }, 0);
  const handlers = [silent, answerWith(500), answerWith(200)];
  const { ask, calls } = await startEndpoints(t, SAFE, handlers);
  t.is((await ask()).status, 500);
  t.deepEqual(calls.map(({ count }) => count), [1, 1, 0]);
});

// Guards against a retry budget that silent calls use up without any call.
test("a retry is withdrawn once for a call that finds no endpoint", async (t) => {
  const { ask, context, endpoints } = await startHost(
    t,
    { ...SAFE, attempts: 4 },
    [{ silence: 4 * IDLE_TIMEOUT_MS }],
  );
  const budget = gateway.RetryBudget.create({
    ratio: 1,
    burst: 100,
    window: 10_000,
  });
  let withdrawals = 0;
  Object.assign(context, {
    retryBudget: () => ({
      deposit() {},
      isWithheldFrom: () => false,
      tryWithdraw(now: number, hosts: number) {
        withdrawals++;
        return budget.tryWithdraw(now, hosts);
      },
      balance: (now: number, hosts: number) => budget.balance(now, hosts),
    }),
  });
  fixture.clock.after(
    IDLE_TIMEOUT_MS / 2,
    () => endpoints[0].isReady = false,
  );
  t.is((await ask()).text, "0");
  t.is(withdrawals, 1);
});

// Guards against an engine that is called without the results of the stages:
// they were run again for a further call and failed.
test("no call is made without inputs after stages have failed again", async (t) => {
  const stage = { service: "maps", after: [], bytes: 100 };
  const route = { ...STREAM, objective: 1000, stages: [stage] };
  let runs = 0;
  const host = await startEndpoints(
    t,
    route,
    [
      handlerOf(route, { silence: 3800 }, 0),
      handlerOf(route, { silence: 0 }, 1),
    ],
    ({ pieces }) => {
      const isFirst = runs++ === 0;
      return Promise.resolve(
        pieces.map((piece) =>
          isFirst
            ? { piece, handle: `h.${piece}` }
            : { piece, failure: "error" as const }
        ),
      );
    },
  );
  const inputs: unknown[] = [];
  Object.assign(host.context, {
    protocol: {
      ...fixture.PROTOCOL,
      callHeaders(...all: Parameters<typeof fixture.PROTOCOL.callHeaders>) {
        inputs.push(all[1].inputs);
        return fixture.PROTOCOL.callHeaders(...all);
      },
    },
  });
  t.deepEqual(idsOf((await host.ask()).text), ["1", "2"]);
  t.true(runs > 1);
  t.deepEqual(inputs, [["h.0"]]);
});

// Guards against a stream of two versions: the further call was chosen before
// the silent one began the stream and broke.
test("a call that was chosen before the stream began does not continue it", async (t) => {
  const first: http.RequestListener = async (_, response) => {
    response.writeHead(200, SIGNED);
    response.flushHeaders();
    await fixture.pause(IDLE_TIMEOUT_MS + 100);
    response.write("id: 1\ndata: 0\n\n");
    await fixture.pause(50);
    response.destroy();
  };
  const second = handlerOf(STREAM, { silence: 0, version: "v2" }, 1);
  const { request, context } = await startEndpoints(t, STREAM, [
    Object.assign(first, { version: "v1" }),
    second,
  ]);
  let admissions = 0;
  Object.assign(context.guard, {
    async admit() {
      if (admissions++ > 0) await fixture.pause(300);
      return { type: "admitted" };
    },
  });
  let text = "";
  await t.throwsAsync(async () => {
    const { body } = await request();
    for await (const chunk of body) text += chunk;
  });
  t.regex(text, /data: 0/);
  t.notRegex(text, /data: 1/);
});

// Guards against two engines that work on one stream.
test("a silent call is cancelled once another endpoint begins", async (t) => {
  let begunAt = Infinity;
  let closedAt = 0;
  const first: http.RequestListener = (_, response) => {
    response.writeHead(200, SIGNED);
    response.write("id: 1\ndata: 0\n\n");
    response.once("close", () => closedAt = fixture.clock.now());
  };
  const second: http.RequestListener = async (_, response) => {
    begunAt = fixture.clock.now();
    response.writeHead(200, SIGNED);
    response.flushHeaders();
    await fixture.pause(1000);
    response.end("id: 2\ndata: 1\n\n");
  };
  const { ask } = await startEndpoints(t, STREAM, [first, second]);
  t.deepEqual(idsOf((await ask()).text), ["1", "2"]);
  t.true(closedAt - begunAt < 400, `${closedAt - begunAt} ms`);
});

// Guards against endpoints that send a byte now and then: each byte would take
// the place of an answer.
test("a call whose endpoint sends a byte now and then is answered elsewhere", async (t) => {
  const trickle: http.RequestListener = async (_, response) => {
    response.writeHead(200, SIGNED);
    response.flushHeaders();
    while (!response.destroyed) {
      await fixture.pause(IDLE_TIMEOUT_MS + 100);
      response.write("x");
    }
  };
  const { ask, endpoints, context } = await startEndpoints(t, SAFE, [
    trickle,
    handlerOf(SAFE, { silence: 250 }, 1),
  ]);
  const answers = await Promise.all([ask(), ask(), ask()]);
  t.deepEqual(answers.map(({ text }) => text), ["1", "1", "1"]);
  t.true(endpoints[0].isAvoided(context.clock.now()));
});

/** Log lines of a host. */
function recordLines({ context }: fixture.Host): Record<string, unknown>[] {
  const lines: Record<string, unknown>[] = [];
  const record = (fields: object, message: string) =>
    void lines.push({ ...structuredClone(fields), message });
  const logger = { info: record, warn: record, error: record, debug: record };
  Object.assign(context, { logger });
  return lines;
}

test("the line of a request names its silent call", async (t) => {
  const host = await startHost(t, SAFE, [{ silence: 60_000 }, { silence: 0 }]);
  const lines = recordLines(host);
  await host.ask();
  const line = lines.find(({ message }) => message === "Request answered");
  const [silent, whole] = line!.calls as object[];
  t.like(silent, { outcome: "silent", silences: 1 });
  // Guards against a call that is cancelled in the log after its whole answer.
  t.like(whole, { outcome: "200" });
});

// Guards against a log that grows with each silence of a slow stream.
test("a call that is silent again and again is logged once", async (t) => {
  const host = await startEndpoints(t, { ...STREAM, attempts: 1 }, [
    async (_, response) => {
      response.writeHead(200, SIGNED);
      for (const id of [1, 2, 3]) {
        response.write(`id: ${id}\ndata: 0\n\n`);
        await fixture.pause(1400);
      }
      response.end();
    },
  ]);
  const lines = recordLines(host);
  t.deepEqual(idsOf((await host.ask()).text), ["1", "2", "3"]);
  t.deepEqual(lines.map(({ message }) => message), [
    "Call is silent; it stays open",
    "Silent call goes on",
    "Request answered",
  ]);
});

// Guards against calls that outlive their request.
test("all open calls end when the caller leaves", async (t) => {
  const { request, calls } = await startHost(t, SAFE, [
    { silence: 60_000 },
    { silence: 60_000 },
  ]);
  const leaving = new AbortController();
  fixture.clock.after(IDLE_TIMEOUT_MS + 200, () => leaving.abort());
  const { signal } = leaving;
  await t.throwsAsync(request({ signal }), { any: true });
  await fixture.pause(100);
  t.deepEqual(calls, [{ count: 1, closed: 1 }, { count: 1, closed: 1 }]);
});

test("a request whose endpoints are silent for good ends at its timeout", async (t) => {
  const { ask } = await startHost(t, { ...SAFE, timeout: 2000 }, [
    { silence: 60_000 },
    { silence: 60_000 },
  ]);
  t.is((await ask()).status, 504);
});

// Guards against sound endpoints that get no calls after a silence.
test("an endpoint is not avoided once its silent call goes on", async (t) => {
  const { ask, endpoints, context } = await startHost(
    t,
    { ...SAFE, attempts: 1 },
    [{ silence: 3 * IDLE_TIMEOUT_MS }],
  );
  const answers = [ask(), ask(), ask(), ask()];
  // Handled also where an assertion ends the test before they are awaited.
  answers.forEach((each) => each.catch(() => {}));
  await fixture.pause(2 * IDLE_TIMEOUT_MS);
  t.true(endpoints[0].isAvoided(context.clock.now()));
  const statuses = (await Promise.all(answers)).map(({ status }) => status);
  t.deepEqual(statuses, [200, 200, 200, 200]);
  t.false(endpoints[0].isAvoided(context.clock.now()));
  t.is(endpoints[0].silentCalls, 0);
});

test("an endpoint that is silent for good is avoided", async (t) => {
  const { ask, endpoints, context } = await startHost(t, SAFE, [
    { silence: 60_000 },
    { silence: 0 },
  ]);
  await Promise.all([ask(), ask(), ask()]);
  t.true(endpoints[0].isAvoided(context.clock.now()));
  t.is(endpoints[0].silentCalls, 0);
});

/** Milliseconds after which a silent call counts as a crash, with a margin. */
const VERDICT_MS = 2300;

/** Crashes that are recorded of a call at an endpoint that is silent until
 * another one has answered. */
async function crashesOf(
  t: ava.ExecutionContext,
  isHeardAgain: boolean,
): Promise<string[]> {
  const crashes: string[] = [];
  const { ask, context, endpoints } = await startHost(t, SAFE, [
    { silence: 60_000 },
    { silence: 0 },
  ]);
  Object.assign(context.guard, {
    recordCrash: (_: unknown, endpoint: string) => crashes.push(endpoint),
  });
  await ask();
  t.deepEqual(crashes, []);
  await fixture.pause(100);
  if (isHeardAgain) endpoints[0].heardAt = context.clock.now();
  await fixture.pause(VERDICT_MS);
  return crashes;
}

// Guards against sound requests that are refused since their content counts as
// the cause of a crash.
test("silence counts as a crash only if the endpoint is not heard again", async (t) => {
  t.is((await crashesOf(t, false)).length, 1);
  t.deepEqual(await crashesOf(t, true), []);
});
