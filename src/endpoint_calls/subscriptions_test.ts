import type * as ava from "ava";
import test from "ava";
import * as http from "node:http";
import type * as net from "node:net";
import * as endpointCalls from "./mod.ts";
import * as clockOffset from "./clock_offset.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";

interface Publisher {
  url: string;
  /** Resolves with the response to the next subscriber; never rejects. */
  next(): Promise<http.ServerResponse>;
}

function listen(
  t: ava.ExecutionContext,
  { status = 200, type = "text/event-stream" } = {},
): Promise<Publisher> {
  const opened: http.ServerResponse[] = [];
  let wake = () => {};
  const server = http.createServer((_incoming, response) => {
    response.writeHead(status, { "content-type": type }).flushHeaders();
    opened.push(response);
    wake();
  });
  t.teardown(() => {
    server.close();
    server.closeAllConnections();
  });
  async function next(): Promise<http.ServerResponse> {
    while (opened.length === 0) {
      await new Promise<void>((resolve) => wake = resolve);
    }
    return opened.shift()!;
  }
  return new Promise((resolve) =>
    server.listen(0, "127.0.0.1", () => {
      const { port } = server.address() as net.AddressInfo;
      resolve({ url: `http://127.0.0.1:${port}`, next });
    })
  );
}

function create(t: ava.ExecutionContext) {
  const clock = new runtime.FakeClock();
  const tally = new telemetry.Tally();
  const events: endpointCalls.EndpointEvent[] = [];
  let wake = () => {};
  const client = endpointCalls.EndpointClient.create({ clock, metrics: tally });
  const subscriptions = client.listen({
    random: runtime.createRandom(1),
    take: (event) => {
      events.push(event);
      wake();
    },
  });
  t.teardown(() => {
    subscriptions.close();
    return client.close();
  });
  async function waitForEvents(
    count: number,
  ): Promise<endpointCalls.EndpointEvent[]> {
    while (events.length < count) {
      await new Promise<void>((resolve) => wake = resolve);
    }
    return events;
  }
  return { clock, tally, subscriptions, events, waitForEvents };
}

function event(name: string, data: unknown): string {
  return `event: ${name}\ndata: ${JSON.stringify(data)}\n\n`;
}

function load(at: number): string {
  return event("load", { at, running: 2, waiting: 1, kvUsed: 0.5 });
}

function cache(sequence: number): string {
  return event("cache", { sequence, stored: ["a"], removed: [] });
}

/** Resolves when the connection of a response has closed. */
async function closed(response: http.ServerResponse): Promise<void> {
  if (response.destroyed) return;
  await new Promise<void>((resolve) => response.once("close", resolve));
}

test("converts the time of a load report to the host's clock", async (t) => {
  const { clock, subscriptions, waitForEvents } = create(t);
  const { url, next } = await listen(t);
  subscriptions.replace([{ id: "e1", url }]);
  const stream = await next();
  clock.advance(1000);
  stream.write(load(50_000));
  await waitForEvents(1);
  clock.advance(700);
  // Created 300 ms after the first report and delivered 400 ms late.
  stream.write(load(50_300));
  const [first, second] = await waitForEvents(2);
  t.like(first, { type: "load", endpoint: "e1", load: { at: 1000 } });
  t.like(second, { load: { at: 1300, running: 2, waiting: 1, kvUsed: 0.5 } });
});

test("counts gaps in cache events, also across a reconnect", async (t) => {
  const { clock, tally, subscriptions, waitForEvents } = create(t);
  const { url, next } = await listen(t);
  subscriptions.replace([{ id: "e1", url }]);
  const stream = await next();
  stream.write(cache(1) + cache(2).slice(0, 20));
  stream.write(cache(2).slice(20) + cache(4));
  await waitForEvents(3);
  t.is(tally.total("endpoint.cache_gap"), 1);
  stream.destroy();
  const again = next();
  // Advance the clock until the closed connection is detected.
  const turns = setInterval(() => clock.advance(100), 1);
  (await again).write(cache(7));
  clearInterval(turns);
  t.like((await waitForEvents(4))[3], {
    type: "cache",
    sequence: 7,
    stored: ["a"],
  });
  t.is(tally.total("endpoint.cache_gap"), 2);
});

test("reconnects after the idle timeout", async (t) => {
  const { clock, subscriptions, waitForEvents } = create(t);
  const { url, next } = await listen(t);
  subscriptions.replace([{ id: "e1", url }]);
  const stream = await next();
  stream.write(load(1));
  await waitForEvents(1);
  clock.advance(5000);
  await closed(stream);
  clock.advance(10_000);
  (await next()).write(load(2));
  t.is((await waitForEvents(2)).length, 2);
});

test("does not soon reconnect to an endpoint that publishes no events", async (t) => {
  const { clock, tally, subscriptions, events } = create(t);
  const { url, next } = await listen(t, { status: 404, type: "text/plain" });
  subscriptions.replace([{ id: "e1", url }]);
  await closed(await next());
  let hasReconnected = false;
  next().then(() => hasReconnected = true);
  clock.advance(59_000);
  await new Promise(setImmediate);
  t.false(hasReconnected);
  t.deepEqual([events, tally.total("endpoint.subscribed")], [[], 0]);
});

test("ignores and counts malformed events", async (t) => {
  const { tally, subscriptions, waitForEvents } = create(t);
  const { url, next } = await listen(t);
  subscriptions.replace([{ id: "e1", url }]);
  const stream = await next();
  const wrong = [
    event("load", { at: "1", running: 1, waiting: 1 }),
    event("load", { at: 1, running: -1, waiting: 1 }),
    event("cache", { sequence: 1.5, stored: [], removed: [] }),
    event("cache", { sequence: 1, stored: [1], removed: [] }),
    "event: load\ndata: {\n\n",
    event("load", null),
  ];
  stream.write(wrong.join("") + event("news", {}) + load(1));
  t.is((await waitForEvents(1))[0].type, "load");
  t.is(tally.total("endpoint.event_malformed"), wrong.length);
});

test("unsubscribes from an endpoint that left or changed its URL", async (t) => {
  const { subscriptions } = create(t);
  const [first, second] = [await listen(t), await listen(t)];
  subscriptions.replace([{ id: "e1", url: first.url }]);
  const old = await first.next();
  subscriptions.replace([{ id: "e1", url: second.url }]);
  await closed(old);
  const moved = await second.next();
  subscriptions.replace([]);
  await closed(moved);
  t.pass();
});

test("the clock offset follows a clock that drifts or restarts", (t) => {
  const offset = clockOffset.ClockOffset.create();
  t.is(offset.toHost(1000, 50), 50);
  t.is(offset.toHost(2000, 1250), 1050);
  // Two windows later the clock has lost 30 ms.
  t.is(offset.toHost(62_000, 61_080), 61_050);
  t.is(offset.toHost(123_000, 122_080), 122_080);
  t.is(offset.toHost(5, 123_000), 123_000);
});

// Guards against an endpoint that fills the memory of all hosts with one event: a
// subscription has neither a deadline nor a size.
test("a subscription to an event without an end is replaced", async (t) => {
  const { clock, tally, subscriptions, waitForEvents } = create(t);
  const { url, next } = await listen(t);
  subscriptions.replace([{ id: "e1", url }]);
  const endless = await next();
  endless.on("error", () => {});
  let written = 0;
  const part = "x".repeat(64 * 1024);
  const write = () => {
    while (!endless.destroyed && endless.write(part)) written += part.length;
  };
  endless.write("event: load\ndata: ");
  endless.on("drain", write);
  write();
  await closed(endless);
  t.true(written < 64 * 1024 * 1024, `${written} bytes`);
  t.is(tally.total("endpoint.event_oversized"), 1);
  clock.advance(1000);
  (await next()).write(load(1));
  t.is((await waitForEvents(1)).length, 1);
});
