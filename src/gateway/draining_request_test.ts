/** Requests at a host that drains: what waits there is refused as soon as no call
 * for it could end before the host stops.
 * @module */

import type * as http from "node:http";
import * as stream from "node:stream";
import type * as ava from "ava";
import test from "ava";
import type * as configurations from "../configuration/mod.ts";
import * as fixture from "./fixture.ts";

/** Milliseconds that a host which drains has left, that a call is expected to
 * take, and for which requests wait. */
const LEFT_MS = 400;
const OBJECTIVE_MS = 250;
const WAIT_MS = 300;
/** Milliseconds that an endpoint needs for an answer. */
const WORK_MS = 200;

const ROUTE: Partial<configurations.Route> = {
  kind: "unsafe",
  objective: OBJECTIVE_MS,
  timeout: 5000,
};

type Compute = Parameters<typeof fixture.startHost>[3];

function answer(response: http.ServerResponse): void {
  response.writeHead(200, { "test-signature": "s" }).end("done");
}

/** A host with one endpoint, whose calls are counted. */
async function startHost(
  t: ava.ExecutionContext,
  route: Partial<configurations.Route>,
  { endpoint = answer, compute }: {
    endpoint?: (response: http.ServerResponse) => void;
    compute?: Compute;
  } = {},
) {
  const seen = { calls: 0 };
  const host = await fixture.startHost(t, { ...ROUTE, ...route }, (
    _,
    response,
  ) => {
    seen.calls++;
    endpoint(response);
  }, compute);
  const { clock, pause } = fixture;
  /** Has the host drain. */
  const drain = (left = LEFT_MS) => {
    const stopsAt = clock.now() + left;
    Object.assign(host.context, { stopsAt: () => stopsAt });
    for (const active of host.started) active.handleDrain();
  };
  return { ...host, seen, drain, pause };
}

/** A body whose last part comes after a wait. */
async function* slowBody() {
  yield "first";
  await fixture.pause(WAIT_MS);
  yield "last";
}

function computeLate(): ReturnType<NonNullable<Compute>> {
  return fixture.pause(WAIT_MS).then(() => [{ piece: 0, handle: "place/1" }]);
}

/** Ways in which a request waits before its first call. */
const WAYS: Record<
  string,
  {
    readonly route?: Partial<configurations.Route>;
    readonly compute?: Compute;
    /** Makes requests wait. */
    prepare?(host: fixture.Host): void;
    readonly body?: () => AsyncGenerator<string>;
  }
> = {
  "the end of its body": { body: slowBody },
  "its stages": {
    route: { stages: [{ service: "maps", after: [], bytes: 100 }] },
    compute: computeLate,
  },
  "a grant of its endpoint": {
    prepare: ({ context }) =>
      Object.assign(context, {
        quotas: {
          ...context.quotas,
          isLimited: () => true,
          acquire: () => fixture.pause(WAIT_MS).then(() => 0),
        },
      }),
  },
  "the place of its prompt": {
    prepare: ({ context }) => {
      const { protocol } = context;
      Object.assign(context, {
        protocol: {
          ...protocol,
          decodeRequest(message: http.IncomingMessage) {
            const decoded = protocol.decodeRequest(message);
            if (decoded.type === "malformed") return decoded;
            const prompt = {
              model: "m",
              inputTokens: 1,
              outputTokens: 1,
              parts: [],
            };
            return { ...decoded, request: { ...decoded.request, prompt } };
          },
        },
        placement: {
          async place() {
            await fixture.pause(WAIT_MS);
            const [engine] = context.pool.endpointsOf("desk");
            const cacheMiss = { prefillTokens: 1, fetchTokens: 0 };
            const pendingWork = { tokens: 1, streams: 1 };
            return { engine, cacheMiss, pendingWork, firstEventTime: 1 };
          },
        },
      });
    },
  },
};

for (
  const [name, { route = {}, compute, prepare, body }] of Object.entries(WAYS)
) {
  // Guards against requests that wait in a host that stops, are passed on late
  // and cut off without an answer.
  test(`a request that waits for ${name} too long is refused as not run`, async (t) => {
    const host = await startHost(t, route, { compute });
    prepare?.(host);
    const started = fixture.clock.now();
    const answered = host.ask({
      method: "POST",
      body: body && stream.Readable.from(body()),
    });
    while (host.started.length === 0) await host.pause(5);
    host.drain();
    t.is((await answered).status, 503);
    const ms = fixture.clock.now() - started;
    t.true(ms < WAIT_MS, `refused after ${ms} ms`);
    await host.pause(WAIT_MS);
    t.is(host.seen.calls, 0);
  });
}

// Guards against a slow body that is waited for although its request has time.
test("a request whose body comes in time is served by a host that drains", async (t) => {
  const host = await startHost(t, {});
  const answered = host.ask({
    method: "POST",
    body: stream.Readable.from(slowBody()),
  });
  while (host.started.length === 0) await host.pause(5);
  host.drain(WAIT_MS + OBJECTIVE_MS + LEFT_MS);
  t.deepEqual(await answered, { status: 200, text: "done" });
});

// Guards against work that is known to take longer than the host has left, of
// requests that come while it drains.
test("a request whose work is too long for the rest of the grace is refused at once", async (t) => {
  const endpoint = (response: http.ServerResponse) =>
    void fixture.clock.after(2 * WORK_MS, () => answer(response));
  const host = await startHost(t, { objective: 1 }, { endpoint });
  for (let count = 0; count < 2; count++) {
    t.is((await host.ask()).status, 200);
  }
  host.drain(WORK_MS);
  t.is((await host.ask()).status, 503);
  t.is(host.seen.calls, 2);
});

// Guards against a retry that is cut off, too.
test("a failed call is not followed by one that would be cut off", async (t) => {
  const endpoint = (response: http.ServerResponse) =>
    void fixture.clock.after(WORK_MS, () => response.destroy());
  const host = await startHost(t, { kind: "safe" }, { endpoint });
  const answered = host.ask();
  await host.sent;
  host.drain(WORK_MS / 2 + OBJECTIVE_MS);
  t.is((await answered).status, 502);
  t.is(host.seen.calls, 1);
});

test("a broken stream is not continued by a call that would be cut off", async (t) => {
  const endpoint = (response: http.ServerResponse) => {
    response.writeHead(200, { "test-signature": "s" });
    response.write("id: 1\ndata: 1\n\n");
    fixture.clock.after(WORK_MS, () => response.destroy());
  };
  const route = { kind: "streaming", resumable: true } as const;
  const host = await startHost(t, route, { endpoint });
  const answered = host.ask();
  await host.sent;
  host.drain(WORK_MS / 2 + OBJECTIVE_MS);
  await t.throwsAsync(answered);
  t.is(host.seen.calls, 1);
});

test("a call in flight goes on while its host drains", async (t) => {
  const endpoint = (response: http.ServerResponse) =>
    void fixture.clock.after(WORK_MS, () => answer(response));
  const host = await startHost(t, {}, { endpoint });
  const answered = host.ask();
  await host.sent;
  host.drain();
  t.is((await answered).status, 200);
});
