/** @module */

import test from "ava";
import type * as peers from "../peers/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as concurrency from "./mod.ts";

const ENDPOINT = "e-1";
const SETTLE_MS = 250;

type Calls = Pick<peers.Rpc, "ask" | "cast">;

/** A control host and entry hosts that reach it while `isReachable`. */
function createFleet(hostCount: number, { slots = 4 } = {}) {
  const clock = new runtime.FakeClock();
  const state = { isReachable: true, slots: slots as number | undefined };
  const context = {
    clock,
    logger: telemetry.noLogger,
    metrics: telemetry.noMetrics,
  };
  const servers = new Map(
    ["c-1", "c-2"].map((name) => [
      name,
      concurrency.SlotServer.create(context),
    ]),
  );
  const names = Array.from({ length: hostCount }, (_, pos) => `h-${pos}`);
  const callsOf = (self: string): Calls => ({
    ask: (to, question) =>
      state.isReachable && question.type === "slot"
        ? Promise.resolve(servers.get(to)!.request(question, self))
        : Promise.reject(new Error("no answer")),
    cast(to, notice) {
      if (state.isReachable && notice.type === "slots") {
        servers.get(to)!.record(notice, self);
      }
    },
  });
  const hosts = names.map((self) =>
    concurrency.SlotClient.create({
      ...context,
      self,
      calls: callsOf(self),
      controlHosts: () => [...servers.keys()],
      entryHosts: () => names,
      slots: () => state.slots,
    })
  );
  return { clock, state, hosts, servers };
}

/** Acquires up to `count` grants at each host and begins their calls; resolves
 * with how many were granted. */
async function acquireAll(
  hosts: readonly concurrency.SlotClient[],
  count: number,
): Promise<number> {
  let granted = 0;
  for (let turn = 0; turn < count; turn++) {
    for (const host of hosts) {
      if (await host.acquire(ENDPOINT) > 0) continue;
      host.begin(ENDPOINT);
      granted++;
    }
  }
  return granted;
}

/** Waits until first questions are answered. */
async function settle({ clock, hosts }: ReturnType<typeof createFleet>) {
  await acquireAll(hosts, 1);
  clock.advance(SETTLE_MS + 100);
}

// Guards against hosts that together send a brittle endpoint more than it has
// slots.
test("all hosts together get no more grants than an endpoint has slots", async (t) => {
  const fleet = createFleet(5);
  await settle(fleet);
  t.is(await acquireAll(fleet.hosts, 3), 4);
});

test("a call that ends frees its slot for any host", async (t) => {
  const fleet = createFleet(2, { slots: 1 });
  const [first, second] = fleet.hosts;
  await settle(fleet);
  t.is(await acquireAll([first], 2), 1);
  first.end(ENDPOINT);
  t.is(await acquireAll([second], 2), 1);
});

test("calls from before the endpoint was brittle count", async (t) => {
  const fleet = createFleet(2);
  const { state, hosts } = fleet;
  state.slots = undefined;
  hosts.forEach((host) => {
    host.begin(ENDPOINT);
    host.begin(ENDPOINT);
  });
  state.slots = 4;
  await settle(fleet);
  t.is(await acquireAll(hosts, 2), 0);
});

test("a grant whose call does not begin is given up", async (t) => {
  const fleet = createFleet(2, { slots: 1 });
  const [first, second] = fleet.hosts;
  await settle(fleet);
  t.is(await first.acquire(ENDPOINT), 0);
  t.true(await second.acquire(ENDPOINT) > 0);
  fleet.clock.advance(600);
  t.is(await second.acquire(ENDPOINT), 0);
});

test("concurrent questions of a host add up", async (t) => {
  const fleet = createFleet(1, { slots: 3 });
  await settle(fleet);
  const [host] = fleet.hosts;
  const waits = await Promise.all(
    Array.from({ length: 5 }, () => host.acquire(ENDPOINT)),
  );
  t.is(waits.filter((wait) => wait === 0).length, 3);
});

test("a host that takes over grants nothing until hosts have reported", async (t) => {
  const fleet = createFleet(3, { slots: 2 });
  await settle(fleet);
  t.is(await acquireAll(fleet.hosts, 1), 2);
  fleet.servers.forEach((_, name) =>
    fleet.servers.set(
      name,
      concurrency.SlotServer.create({
        clock: fleet.clock,
        metrics: telemetry.noMetrics,
      }),
    )
  );
  fleet.clock.advance(100);
  t.is(await acquireAll(fleet.hosts, 1), 0);
  fleet.clock.advance(SETTLE_MS + 100);
  t.is(await acquireAll(fleet.hosts, 1), 0);
});

test("the slots of a host that is lost are free after some seconds", async (t) => {
  const fleet = createFleet(2, { slots: 1 });
  const [lost, other] = fleet.hosts;
  await settle(fleet);
  t.is(await acquireAll([lost], 1), 1);
  lost.end = () => {};
  fleet.state.isReachable = false;
  fleet.clock.advance(3100);
  fleet.state.isReachable = true;
  t.is(await acquireAll([other], 1), 1);
});

test("a long call keeps its slot", async (t) => {
  const fleet = createFleet(2, { slots: 1 });
  const [first, second] = fleet.hosts;
  await settle(fleet);
  t.is(await acquireAll([first], 1), 1);
  for (let second = 0; second < 10; second++) fleet.clock.advance(1000);
  t.is(await acquireAll([second], 1), 0);
});

// Guards against hosts that each use all slots while no control host answers.
test("without a control host, the shares of all hosts add up to the slots", async (t) => {
  for (const slots of [1, 2, 4, 7, 64]) {
    const { hosts, state } = createFleet(5, { slots });
    state.isReachable = false;
    t.is(await acquireAll(hosts, slots), slots);
  }
});

test("a refused host does not ask again at once", async (t) => {
  const fleet = createFleet(1, { slots: 1 });
  const [host] = fleet.hosts;
  await settle(fleet);
  await acquireAll([host], 2);
  t.deepEqual(host.blockedEndpoints, [ENDPOINT]);
  host.end(ENDPOINT);
  t.deepEqual(host.blockedEndpoints, []);
});

test("calls to an endpoint that is not brittle need no grant", async (t) => {
  const { hosts: [host], state } = createFleet(1);
  state.slots = undefined;
  t.false(host.isLimited(ENDPOINT));
  t.is(await host.acquire(ENDPOINT), 0);
});

// Guards against slots that stay taken by questions which were refused.
test("refused questions take no slots", async (t) => {
  const fleet = createFleet(2, { slots: 4 });
  const [first, second] = fleet.hosts;
  await settle(fleet);
  t.is(await acquireAll([first], 4), 4);
  await Promise.all(
    Array.from({ length: 5 }, () => second.acquire(ENDPOINT)),
  );
  for (let count = 0; count < 4; count++) first.end(ENDPOINT);
  t.is(await acquireAll([first], 4), 4);
});

// Guards against state of endpoints that have ended, which grows for ever.
test("an endpoint that is not used leaves no state", async (t) => {
  const fleet = createFleet(2, { slots: 1 });
  const [first, second] = fleet.hosts;
  await settle(fleet);
  await acquireAll([first], 1);
  await second.acquire(ENDPOINT);
  t.is((second.dump() as unknown[]).length, 1);
  first.end(ENDPOINT);
  fleet.clock.advance(200);
  t.deepEqual(second.dump(), []);
  t.deepEqual(first.dump(), []);
});
