/** Tests of calls whose endpoint sends nothing for a while, on loopback.
 * @module */

import type * as http from "node:http";
import * as timers from "node:timers/promises";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as endpointFixture from "../endpoints/fixture.ts";
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

/** A host before endpoints that answer with their index and each are silent for
 * a while. */
async function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  behaviours: readonly Behaviour[],
) {
  const calls = behaviours.map(() => ({ count: 0, closed: 0 }));
  const handlerOf = (index: number): http.RequestListener => {
    return async (request, response) => {
      calls[index].count++;
      response.once("close", () => {
        if (!response.writableFinished) calls[index].closed++;
      });
      const isStream = route.kind === "streaming";
      response.writeHead(200, SIGNED);
      const isResumed = request.headers["test-resume-after"] !== undefined;
      if (isStream && !isResumed) response.write(`id: 1\ndata: ${index}\n\n`);
      else response.flushHeaders();
      await timers.setTimeout(behaviours[index].silence);
      if (response.destroyed) return;
      response.end(isStream ? `id: 2\ndata: ${index}\n\n` : `${index}`);
    };
  };
  const host = await fixture.startHost(t, route, handlerOf(0));
  const { address } = host.pool.endpointsOf("desk")[0].identity;
  const others = await Promise.all(
    behaviours.slice(1).map((_, index) =>
      fixture.listen(t, handlerOf(index + 1))
    ),
  );
  const entries = [address, ...others].map((each, index) =>
    endpointFixture.entry({
      id: `e-${index + 1}`,
      address: each,
      version: behaviours[index].version ?? "v1",
    })
  );
  host.pool.update(entries, () => undefined);
  const endpoints = host.pool.endpointsOf("desk");
  // The first endpoint is chosen first.
  endpoints.slice(1).forEach((each) => each.meanDuration = 100);
  endpoints[0].meanDuration = 1;
  return { ...host, calls, endpoints };
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
  await timers.setTimeout(100);
  t.deepEqual(calls, [{ count: 1, closed: 1 }, { count: 1, closed: 0 }]);
});

test("the later call is cancelled once the silent one goes on", async (t) => {
  const { ask, calls } = await startHost(t, SAFE, [
    { silence: 1.5 * IDLE_TIMEOUT_MS },
    { silence: 60_000 },
  ]);
  t.deepEqual(await ask(), { status: 200, text: "0" });
  await timers.setTimeout(100);
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

// Guards against calls that outlive their request.
test("all open calls end when the caller leaves", async (t) => {
  const { request, calls } = await startHost(t, SAFE, [
    { silence: 60_000 },
    { silence: 60_000 },
  ]);
  const signal = AbortSignal.timeout(IDLE_TIMEOUT_MS + 200);
  await t.throwsAsync(request({ signal }), { any: true });
  await timers.setTimeout(100);
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
    [{ silence: 1.5 * IDLE_TIMEOUT_MS }],
  );
  const answers = [ask(), ask(), ask(), ask()];
  await timers.setTimeout(1.2 * IDLE_TIMEOUT_MS);
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
  await timers.setTimeout(100);
  if (isHeardAgain) endpoints[0].heardAt = context.clock.now();
  await timers.setTimeout(VERDICT_MS);
  return crashes;
}

// Guards against sound requests that are refused since their content counts as
// the cause of a crash.
test("silence counts as a crash only if the endpoint is not heard again", async (t) => {
  t.is((await crashesOf(t, false)).length, 1);
  t.deepEqual(await crashesOf(t, true), []);
});
